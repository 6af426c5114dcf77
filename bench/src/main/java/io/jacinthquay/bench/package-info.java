/** The program {@code jq-bench}; each subcommand is a {@link io.jacinthquay.bench.BenchCommand}. */
package io.jacinthquay.bench;
