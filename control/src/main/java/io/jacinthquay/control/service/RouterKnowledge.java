package io.jacinthquay.control.service;

import io.jacinthquay.decision.dispatch.UpstreamLoad;
import java.util.Map;

/** What routers are told of each other, whoever tells it. */
public interface RouterKnowledge {
  /** Returns who numbers the reads: another leader or relay numbers them anew. */
  long readsTerm();

  /** Returns which upstream has read which shared beginning, as routers told. */
  PrefixReads reads();

  /** Returns how many routers there are. */
  int routers();

  /** Returns the sum of what all routers but one have under way, by upstream. */
  Map<String, UpstreamLoad> loadsBeside(String router);

  /** Returns the time of day that most VMs agree on, in milliseconds since the epoch. */
  long wallMillis();
}
