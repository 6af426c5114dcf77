package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.VmId;

/** Where the scopes of one router put what they decide. */
interface Outbox {
  /** Adds an action for the router. */
  void act(AdmissionAction action);

  /** Sends a message to an owner, which may be this router. */
  void toOwner(VmId owner, SlotMessage.ToOwner message);

  /** Notes how far a customer is ahead of its class. */
  void heard(ClassName className, CustomerId customer, double lag);

  /** Returns what was last heard of a customer, 0 if nothing. */
  double lag(ClassName className, CustomerId customer);

  /** Returns whether a class must finish. */
  boolean mustFinish(ClassName className);
}
