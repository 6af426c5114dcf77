package io.jacinthquay.bench.capacity;

/** The size to design for, and the limits of control. */
final class PlannedSize {
  static final double NODES = 540;
  static final double FAILURE_DOMAINS = 11;
  static final double NODES_PER_DOMAIN = NODES / FAILURE_DOMAINS;
  static final double REPLICAS = 12_000;
  static final double REQUESTS_PER_SECOND = 25_000;
  static final double REQUESTS_PER_NODE = REQUESTS_PER_SECOND / NODES;
  static final double TOKENS_PER_SECOND = 10_000_000;
  static final double CUSTOMERS = 6_100;
  static final double CHANGES_PER_DAY = 15_000;
  static final double CHANGES_PER_SECOND = CHANGES_PER_DAY / 86_400;
  static final double LIMIT_BYTES_PER_SECOND = 11_000;
  static final double LIMIT_CORE_SHARE = 0.044;
  static final double LIMIT_MEMORY_BYTES = 128e6;
  static final double LIMIT_CONTROL_VMS = 45;

  private PlannedSize() {}
}
