/** Results of experiments as JSON lines, tables and plots. */
package io.jacinthquay.bench.report;
