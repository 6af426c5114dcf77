/** A simulated model engine in virtual time: continuous batching, prefix cache, late reports. */
package io.jacinthquay.bench.engine;
