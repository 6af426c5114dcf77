package io.jacinthquay.bench.membership;

/**
 * The measurements of one trial of the membership.
 *
 * @param members number of members
 * @param domains number of failure domains
 * @param loss share of messages lost
 * @param seed seed of the trial
 * @param bytesPerNodeSecond bytes sent and received per member and second, headers included
 * @param messagesPerNodeSecond messages sent and received per member and second
 * @param kills members that were killed without notice, one after the other
 * @param detectionMaxSeconds longest time until every member of the domain had detected it
 * @param detectionMeanSeconds mean of that time
 * @param loadAgeP95Seconds 95th percentile of the age of the known load of a member
 * @param summaryAgeMaxSeconds largest age of a known summary of another failure domain; 0 if there
 *     is one failure domain
 * @param refutedPerDay refuted suspicions of live members, per day
 * @param falseDeathsPerDay pairs of members in which one falsely regards the other as dead, sampled
 *     once per second, per day
 */
record MembershipResult(
    int members,
    int domains,
    double loss,
    long seed,
    double bytesPerNodeSecond,
    double messagesPerNodeSecond,
    int kills,
    double detectionMaxSeconds,
    double detectionMeanSeconds,
    double loadAgeP95Seconds,
    double summaryAgeMaxSeconds,
    double refutedPerDay,
    double falseDeathsPerDay) {}
