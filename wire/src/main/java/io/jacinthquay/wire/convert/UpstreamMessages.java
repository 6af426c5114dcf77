package io.jacinthquay.wire.convert;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.runtime.settings.SocketAddresses;
import io.jacinthquay.wire.gen.ListedUpstreamMessage;
import io.jacinthquay.wire.gen.UpstreamLoadMessage;

/** Converts upstream listings and upstream loads. */
public final class UpstreamMessages {
  private UpstreamMessages() {}

  /** Returns the message for the load of an upstream. */
  public static UpstreamLoadMessage toMessage(String upstream, UpstreamLoad load) {
    return new UpstreamLoadMessage(
        upstream,
        load.inFlight(),
        load.promptTokens(),
        load.memoryTokens(),
        load.pauseSensitivity());
  }

  /** Returns the load that a message carries. */
  public static UpstreamLoad toLoad(UpstreamLoadMessage message) {
    return new UpstreamLoad(
        message.getInFlight(),
        message.getPromptTokens(),
        message.getMemoryTokens(),
        message.getFragility());
  }

  /**
   * Returns the message for a listed upstream.
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
        Math.max(0, listing.coldMillis() - ageMillis),
        listing.version().value());
  }

  /**
   * Returns the listed upstream that a message carries.
   *
   * @throws IllegalArgumentException if the address is malformed
   */
  public static UpstreamListing toListing(ListedUpstreamMessage message) {
    return new UpstreamListing(
        new UpstreamId(message.getUpstream()),
        new PoolName(message.getPool()),
        new DomainId(message.getDomain()),
        SocketAddresses.parse(message.getAddress()),
        message.isDraining(),
        message.isCheap(),
        message.getSlots(),
        message.getColdMillis(),
        new SoftwareVersion(message.getVersion()));
  }
}
