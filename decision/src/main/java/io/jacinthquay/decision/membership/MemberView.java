package io.jacinthquay.decision.membership;

import java.util.Optional;

/**
 * What a router knows of one member of its failure domain.
 *
 * @param member the last report
 * @param leaving whether the member or the platform's list says that it leaves
 * @param load the last load heard of
 * @param loadAgeMillis age of that load, in milliseconds; {@link Long#MAX_VALUE} without one
 */
public record MemberView(
    Member member, boolean leaving, Optional<MemberLoad> load, long loadAgeMillis) {}
