/** One small model engine in virtual time: continuous batching, prefix cache and late reports. */
package io.jacinthquay.bench.engine;
