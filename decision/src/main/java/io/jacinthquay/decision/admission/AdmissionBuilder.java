package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.bearing.ConcurrencyLimitOptions;
import io.jacinthquay.decision.slots.ClassPolicies;
import io.jacinthquay.decision.slots.DecisionListener;
import io.jacinthquay.decision.slots.SlotOptions;
import io.jacinthquay.decision.slots.SlotOwner;
import io.jacinthquay.model.VmId;
import java.util.Objects;

/** Builds an {@link Admission}. */
public final class AdmissionBuilder {
  /** Leaves {@link AdmissionNode} the low bits of a {@code long} for its own count. */
  private static final long MAX_INCARNATION = 1L << 46;

  private final VmId self;
  private final long incarnation;
  private final ClassPolicies classes;
  private SlotOptions slots = SlotOptions.defaults();
  private ConcurrencyLimitOptions limits = ConcurrencyLimitOptions.defaults();
  private DecisionListener listener = DecisionListener.NONE;

  AdmissionBuilder(VmId self, long incarnation, ClassPolicies classes) {
    this.self = Objects.requireNonNull(self, "self");
    if (incarnation < 0 || incarnation > MAX_INCARNATION) {
      throw new IllegalArgumentException(
          "incarnation is " + incarnation + " and must be 0 to 2^46");
    }
    this.incarnation = incarnation;
    this.classes = Objects.requireNonNull(classes, "classes");
  }

  /** Sets the time limits and sizes of the slot protocol. */
  public AdmissionBuilder slots(SlotOptions options) {
    this.slots = Objects.requireNonNull(options, "options");
    return this;
  }

  /** Sets how the concurrency limits of upstreams grow and shrink. */
  public AdmissionBuilder limits(ConcurrencyLimitOptions options) {
    this.limits = Objects.requireNonNull(options, "options");
    return this;
  }

  /** Sets the listener for the decisions of owned scopes. */
  public AdmissionBuilder listener(DecisionListener newListener) {
    this.listener = Objects.requireNonNull(newListener, "newListener");
    return this;
  }

  /** Builds the admission state machine. */
  public Admission build() {
    SlotOwner.Settings settings = new SlotOwner.Settings(classes, slots, limits);
    return new AdmissionNode(self, incarnation, settings, listener);
  }
}
