/**
 * Experiments that run the production decision code against simulated engines in virtual time.
 *
 * <p>{@link io.jacinthquay.bench.experiment.Experiment} runs one {@link
 * io.jacinthquay.bench.experiment.Scenario} under one {@link
 * io.jacinthquay.bench.experiment.Strategy}.
 */
package io.jacinthquay.bench.experiment;
