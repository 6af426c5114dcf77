package io.jacinthquay.keeper.state;

import io.jacinthquay.wire.gen.CommandAnswer;
import java.util.Objects;

/**
 * What a command makes of a table.
 *
 * @param <T> the type of the table
 * @param table the table after the command
 * @param answer what the proposer hears
 */
record Step<T>(T table, CommandAnswer answer) {
  Step {
    Objects.requireNonNull(table, "table");
    Objects.requireNonNull(answer, "answer");
  }
}
