package io.jacinthquay.bench.capacity;

/** The size to design for, and the limits on the traffic and state of control. */
final class PlannedSize {
  /** Nodes that run a router. */
  static final double NODES = 540;

  static final double FAILURE_DOMAINS = 11;
  static final double NODES_PER_DOMAIN = NODES / FAILURE_DOMAINS;

  /** Replicas of all models. */
  static final double REPLICAS = 12_000;

  /** Requests per second over all nodes. */
  static final double REQUESTS_PER_SECOND = 25_000;

  static final double REQUESTS_PER_NODE = REQUESTS_PER_SECOND / NODES;

  /** Tokens per second over all nodes. */
  static final double TOKENS_PER_SECOND = 10_000_000;

  static final double CUSTOMERS = 6_100;

  /** Configuration changes per day. */
  static final double CHANGES_PER_DAY = 15_000;

  static final double CHANGES_PER_SECOND = CHANGES_PER_DAY / 86_400;

  /** Traffic of one node for control, in bytes per second. */
  static final double LIMIT_BYTES_PER_SECOND = 11_000;

  /** Share of a core that the placement of one node may use, 0 to 1. */
  static final double LIMIT_CORE_SHARE = 0.044;

  /** Memory for each kind of router state, in bytes. */
  static final double LIMIT_MEMORY_BYTES = 128e6;

  /** Number of control VMs. */
  static final double LIMIT_CONTROL_VMS = 45;

  private PlannedSize() {}
}
