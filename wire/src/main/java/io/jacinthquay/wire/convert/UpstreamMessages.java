package io.jacinthquay.wire.convert;

import io.jacinthquay.decision.dispatch.Listing;
import io.jacinthquay.decision.dispatch.LoadFigures;
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
  public static UpstreamLoadMessage toMessage(String upstream, LoadFigures load) {
    return new UpstreamLoadMessage(
        upstream, load.inFlight(), load.promptTokens(), load.memoryTokens(), load.fragility());
  }

  /** Returns what a message says is under way. */
  public static LoadFigures load(UpstreamLoadMessage message) {
    return new LoadFigures(
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
  public static ListedUpstreamMessage toMessage(Listing listing, long ageMillis) {
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
  public static Listing listing(ListedUpstreamMessage message) {
    return new Listing(
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
