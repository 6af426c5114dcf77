/** Small fakes of the external systems, for tests, benchmarks and {@code jq-standalone}. */
package io.jacinthquay.testkit;
