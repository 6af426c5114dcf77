package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.slots.OwnerStatus;
import io.jacinthquay.model.VmId;
import java.util.Optional;

/**
 * The state of a scope as known by one router.
 *
 * @param owner the owner that this router uses; empty while no router is live
 * @param sessionValid whether that owner has answered within the lease
 * @param waiting number of waiting requests of this router
 * @param running number of running requests of this router
 * @param idle number of unused slots of this router
 * @param dispatchedFromIdle number of requests dispatched on an unused slot
 * @param dispatchedAfterGrant number of requests dispatched after a grant of the owner
 * @param owned the state of the owner, if this router is the owner
 */
public record ScopeStatus(
    Optional<VmId> owner,
    boolean sessionValid,
    int waiting,
    int running,
    int idle,
    long dispatchedFromIdle,
    long dispatchedAfterGrant,
    Optional<OwnerStatus> owned) {}
