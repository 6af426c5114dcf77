/** Benchmarks of slot owners and of the slot protocol. */
package io.jacinthquay.bench.jmh;
