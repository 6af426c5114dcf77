package io.jacinthquay.ctl.output;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jacinthquay.model.Failure;
import java.io.PrintStream;

/** Prints results as tables or as one line of JSON each, and numbered errors. */
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
   * @param json whether results are JSON
   */
  public Printer(PrintStream out, PrintStream err, boolean json) {
    this.out = out;
    this.err = err;
    this.json = json;
  }

  /**
   * Prints a result.
   *
   * @param value its JSON form, a record
   * @param table its form for people
   */
  public void print(Object value, Table table) {
    print(value, table.toString());
  }

  /**
   * Prints a result.
   *
   * @param value its JSON form, a record
   * @param text its form for people, which ends with a line break
   */
  public void print(Object value, String text) {
    if (!json) {
      out.print(text);
      return;
    }
    try {
      out.println(MAPPER.writeValueAsString(value));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("no JSON form: " + value.getClass(), e);
    }
  }

  /** Prints a note for people, which is no part of the result. */
  public void note(String text) {
    err.println(text);
  }

  /** Prints a failure with its number. */
  public void error(Failure failure) {
    err.println(failure.code().number() + " " + failure.detail());
  }
}
