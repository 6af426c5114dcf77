/**
 * Experiments: the real decision code against small model engines in virtual time.
 *
 * <p>{@link io.jacinthquay.bench.experiment.Experiment} runs one {@link
 * io.jacinthquay.bench.experiment.Scenario} under one {@link
 * io.jacinthquay.bench.experiment.Strategy}.
 */
package io.jacinthquay.bench.experiment;
