package io.jacinthquay.keeper.state;

import io.jacinthquay.wire.gen.CommandAnswer;
import java.util.Objects;

/**
 * Result of a command on one table.
 *
 * @param <T> the type of the table
 * @param table the table after the command
 * @param answer the answer to the proposer
 */
record TableUpdate<T>(T table, CommandAnswer answer) {
  TableUpdate {
    Objects.requireNonNull(table, "table");
    Objects.requireNonNull(answer, "answer");
  }
}
