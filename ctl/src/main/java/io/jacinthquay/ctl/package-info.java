/** The command line {@code jqctl} for operators. */
package io.jacinthquay.ctl;
