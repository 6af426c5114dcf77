/** Benchmarks of the keepers: commits, failover, restart and readers. */
package io.jacinthquay.bench.keeper;
