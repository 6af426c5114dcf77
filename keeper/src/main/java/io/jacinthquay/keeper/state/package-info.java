/**
 * The deterministic state behind the keepers' log, as immutable tables.
 *
 * <p>{@link io.jacinthquay.keeper.state.KeeperState} applies commands in log order. Nothing here
 * does I/O, reads a clock or draws random numbers.
 */
package io.jacinthquay.keeper.state;
