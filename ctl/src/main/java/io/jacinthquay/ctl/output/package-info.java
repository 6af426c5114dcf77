/** Output of tables and JSON to standard output, and of numbered errors to standard error. */
package io.jacinthquay.ctl.output;
