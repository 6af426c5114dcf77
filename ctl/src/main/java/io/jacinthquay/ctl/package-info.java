/** The operators' command line, {@code jqctl}. */
package io.jacinthquay.ctl;
