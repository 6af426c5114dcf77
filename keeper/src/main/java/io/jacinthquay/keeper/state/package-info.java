/**
 * The deterministic replicated state of the keepers, as immutable tables.
 *
 * <p>{@link io.jacinthquay.keeper.state.KeeperState} applies commands in log order. This package
 * does no I/O, reads no clock and uses no random numbers.
 */
package io.jacinthquay.keeper.state;
