package io.jacinthquay.decision.membership;

import java.util.Optional;

/**
 * A snapshot of one member of the failure domain as seen by a router.
 *
 * @param member the last report about the member
 * @param leaving whether the member or the platform's list marks it as leaving
 * @param load the last load received, if any
 * @param loadAgeMillis age of that load, in milliseconds; {@link Long#MAX_VALUE} if there is none
 */
public record MemberView(
    Member member, boolean leaving, Optional<MemberLoad> load, long loadAgeMillis) {}
