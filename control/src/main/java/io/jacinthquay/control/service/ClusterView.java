package io.jacinthquay.control.service;

import io.jacinthquay.decision.cluster.RouterSignals;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.decision.quarantine.PartId;
import java.util.List;
import java.util.Map;

/** The state that routers share: the leader holds it, and relays pass it on. */
public interface ClusterView {
  /**
   * Returns the term in which cached prefixes and lists are numbered; another leader or relay
   * numbers them anew.
   */
  long numberingTerm();

  /** Returns the cached prefixes that routers reported for their upstreams. */
  CachedPrefixLog cachedPrefixes();

  /** Returns the number of routers. */
  int routers();

  /**
   * Returns how many routers come before one in the order of all routers, by failure domain and
   * name.
   */
  int position(String domain, String router);

  /** Returns the load of all routers except one, by upstream. */
  Map<String, UpstreamLoad> loadsOfOthers(String router);

  /** Returns the sum of the signals of all routers except one. */
  RouterSignals signalsOfOthers(String router);

  /** Returns the parts of prompts that may have crashed an upstream. */
  List<PartId> suspects();

  /**
   * Returns the epoch of the origins of streams that the leader remembers; with another one,
   * routers report all that they know.
   */
  long originsEpoch();

  /** Returns the median time of day of the VMs, in milliseconds since the epoch. */
  long wallMillis();
}
