/** Benchmarks of single decisions. */
package io.jacinthquay.bench.jmh;
