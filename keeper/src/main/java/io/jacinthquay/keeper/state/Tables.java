package io.jacinthquay.keeper.state;

/**
 * The complete state at one index of the log.
 *
 * @param clock the logical time of the state
 * @param config the configuration
 * @param leases the leases
 * @param claims the idempotency claims
 * @param usage the usage counters and windows
 * @param orders the recorded orders
 */
public record Tables(
    StateClock clock,
    ConfigTable config,
    LeaseTable leases,
    ClaimTable claims,
    UsageTable usage,
    OrderTable orders) {
  /** The state before any command. */
  public static final Tables EMPTY =
      new Tables(
          StateClock.START,
          ConfigTable.EMPTY,
          LeaseTable.EMPTY,
          ClaimTable.EMPTY,
          UsageTable.EMPTY,
          OrderTable.EMPTY);

  Tables with(StateClock next) {
    return new Tables(next, config, leases, claims, usage, orders);
  }

  Tables with(ConfigTable next) {
    return new Tables(clock, next, leases, claims, usage, orders);
  }

  Tables with(LeaseTable next) {
    return new Tables(clock, config, next, claims, usage, orders);
  }

  Tables with(ClaimTable next) {
    return new Tables(clock, config, leases, next, usage, orders);
  }

  Tables with(UsageTable next) {
    return new Tables(clock, config, leases, claims, next, orders);
  }

  Tables with(OrderTable next) {
    return new Tables(clock, config, leases, claims, usage, next);
  }
}
