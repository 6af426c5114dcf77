/** Programs of the system in JVMs of their own, for tests and benchmarks. */
package io.jacinthquay.testkit.process;
