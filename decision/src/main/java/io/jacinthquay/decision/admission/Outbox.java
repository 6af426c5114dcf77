package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.VmId;

/** Receives the actions and messages of the scopes of one router, and shares state between them. */
interface Outbox {
  /** Adds an action for the router. */
  void addAction(AdmissionAction action);

  /** Sends a message to an owner, which may be this router. */
  void sendToOwner(VmId owner, SlotMessage.ToOwner message);

  /** Records the excess of a customer's counter over its class. */
  void recordExcess(ClassName className, CustomerId customer, double tokens);

  /** Returns the last recorded excess of a customer in tokens, or 0 without one. */
  double excessTokens(ClassName className, CustomerId customer);

  /** Returns whether requests of a class must finish. */
  boolean mustFinish(ClassName className);
}
