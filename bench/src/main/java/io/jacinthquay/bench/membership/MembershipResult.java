package io.jacinthquay.bench.membership;

/**
 * What one trial of the membership measured.
 *
 * @param members number of members
 * @param domains number of failure domains
 * @param loss share of messages lost
 * @param seed of the trial
 * @param bytesPerNodeSecond bytes sent and received per member and second, headers included
 * @param messagesPerNodeSecond messages sent and received per member and second
 * @param kills members that were ended without a word, one after the other
 * @param detectionMaxSeconds longest time until every member of the domain knew
 * @param detectionMeanSeconds mean of that time
 * @param loadAgeP95Seconds 95th percentile of the age of the load known of a member
 * @param summaryAgeMaxSeconds largest age of a summary known of another failure domain; 0 for one
 *     failure domain
 * @param refutedPerDay suspicions of living members that were refuted, per day
 * @param falseDeathsPerDay living members that any member held for dead, per day
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
