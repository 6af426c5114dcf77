package io.jacinthquay.wire.convert;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.runtime.settings.SocketAddresses;
import io.jacinthquay.wire.gen.ListedUpstreamMessage;
import io.jacinthquay.wire.gen.UpstreamLoadMessage;

/** Turns upstreams and their loads into messages and back. */
public final class UpstreamMessages {
  private UpstreamMessages() {}

  /** Returns the message of what is under way at an upstream. */
  public static UpstreamLoadMessage toMessage(String upstream, UpstreamLoad load) {
    return new UpstreamLoadMessage(
        upstream, load.inFlight(), load.promptTokens(), load.memoryTokens(), load.fragility());
  }

  /** Returns what a message says is under way. */
  public static UpstreamLoad load(UpstreamLoadMessage message) {
    return new UpstreamLoad(
        message.getInFlight(),
        message.getPromptTokens(),
        message.getMemoryTokens(),
        message.getFragility());
  }

  /**
   * Returns the message of an upstream of the list.
   *
   * @param ageMillis how long ago the list was read, in milliseconds
   */
  public static ListedUpstreamMessage toMessage(UpstreamListing listing, long ageMillis) {
    return new ListedUpstreamMessage(
        listing.upstream().value(),
        listing.pool().value(),
        listing.domain().value(),
        SocketAddresses.format(listing.address()),
        listing.draining(),
        listing.cheap(),
        listing.slots(),
        Math.max(0, listing.coldMillis() - ageMillis));
  }

  /**
   * Returns an upstream of the list.
   *
   * @throws IllegalArgumentException if its address can't be read
   */
  public static UpstreamListing listing(ListedUpstreamMessage message) {
    return new UpstreamListing(
        new UpstreamId(message.getUpstream()),
        new PoolName(message.getPool()),
        new DomainId(message.getDomain()),
        SocketAddresses.parse(message.getAddress()),
        message.isDraining(),
        message.isCheap(),
        message.getSlots(),
        message.getColdMillis());
  }
}
