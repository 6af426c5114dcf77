/** Benchmarks of the latency that the router adds, compared with direct calls to the engine. */
package io.jacinthquay.bench.overhead;
