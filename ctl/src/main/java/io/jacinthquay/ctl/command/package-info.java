/** The subcommands of {@code jqctl}, one class each. */
package io.jacinthquay.ctl.command;
