package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.slots.OwnerStatus;
import io.jacinthquay.model.VmId;
import java.util.Optional;

/**
 * What one router knows of a scope.
 *
 * @param owner the owner that this router turns to; empty while no router is live
 * @param sessionValid whether that owner has answered within the lease
 * @param waiting requests of this router that wait
 * @param running requests of this router that run
 * @param idle unused slots of this router
 * @param dispatchedAhead requests that found a slot without asking
 * @param dispatchedAsked requests that had to ask
 * @param owned the owner's side, if this router is the owner
 */
public record ScopeStatus(
    Optional<VmId> owner,
    boolean sessionValid,
    int waiting,
    int running,
    int idle,
    long dispatchedAhead,
    long dispatchedAsked,
    Optional<OwnerStatus> owned) {}
