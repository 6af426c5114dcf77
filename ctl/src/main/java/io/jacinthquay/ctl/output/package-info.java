/** Tables and JSON on standard output, numbered errors on standard error. */
package io.jacinthquay.ctl.output;
