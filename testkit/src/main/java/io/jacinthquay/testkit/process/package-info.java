/** Runs the system's programs in separate JVMs, for tests and benchmarks. */
package io.jacinthquay.testkit.process;
