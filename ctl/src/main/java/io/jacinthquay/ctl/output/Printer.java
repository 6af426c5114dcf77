package io.jacinthquay.ctl.output;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jacinthquay.model.Failure;
import java.io.PrintStream;

/** Prints results, each as a table or as one line of JSON, and numbered errors. */
public final class Printer {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final PrintStream out;
  private final PrintStream err;
  private final boolean json;

  /**
   * Returns a printer.
   *
   * @param out receives results
   * @param err receives errors
   * @param json whether results are printed as JSON
   */
  public Printer(PrintStream out, PrintStream err, boolean json) {
    this.out = out;
    this.err = err;
    this.json = json;
  }

  /**
   * Prints a result.
   *
   * @param value the result as a record, printed in JSON mode
   * @param table the result as a table, printed otherwise
   */
  public void print(Object value, Table table) {
    print(value, table.toString());
  }

  /**
   * Prints a result.
   *
   * @param value the result as a record, printed in JSON mode
   * @param text the result as text that ends with a line break, printed otherwise
   */
  public void print(Object value, String text) {
    if (!json) {
      out.print(text);
      return;
    }
    try {
      out.println(MAPPER.writeValueAsString(value));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value can't be written as JSON: " + value.getClass(), e);
    }
  }

  /** Prints a note to standard error; it isn't part of the result. */
  public void note(String text) {
    err.println(text);
  }

  /** Prints a failure with the number of its result code. */
  public void error(Failure failure) {
    err.println(failure.code().number() + " " + failure.detail());
  }
}
