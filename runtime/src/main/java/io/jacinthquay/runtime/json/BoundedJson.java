package io.jacinthquay.runtime.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Reads JSON of other programs into trees of bounded size.
 *
 * <p>A value of two or three characters takes up to 100 bytes in a tree, so a limit on the bytes of
 * a text does not bound the memory that it takes.
 */
public final class BoundedJson {
  private BoundedJson() {}

  /**
   * Returns a mapper that rejects texts with more than a number of tokens: names, values, and
   * beginnings and ends of objects and lists.
   */
  public static ObjectMapper mapper(int maxTokens) {
    StreamReadConstraints constraints =
        StreamReadConstraints.builder().maxTokenCount(maxTokens).build();
    return new ObjectMapper(JsonFactory.builder().streamReadConstraints(constraints).build());
  }
}
