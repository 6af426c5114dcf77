/** Experiments, load tool and benchmarks. */
package io.jacinthquay.bench;
