package io.jacinthquay.decision.dispatch;

/**
 * One request on its way to one upstream.
 *
 * @param upstream where it was sent
 * @param work what it asks
 * @param unreadTokens prompt tokens that the upstream has probably still to read
 * @param sentNanos when it was sent, on the monotonic clock
 */
public record Sending(UpstreamState upstream, Work work, int unreadTokens, long sentNanos) {}
