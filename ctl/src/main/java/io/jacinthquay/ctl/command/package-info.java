/** The subcommands of {@code jqctl}. */
package io.jacinthquay.ctl.command;
