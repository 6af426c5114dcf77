package io.jacinthquay.runtime.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.core.util.JsonParserDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;

/**
 * The entries of a list in an object, read one after the other, so that only one of them takes the
 * memory of a tree. What is beside the list is skipped.
 */
public final class JsonEntries {
  /** Most names, values, beginnings and ends of an entry; each takes up to 100 bytes of memory. */
  static final int MAX_ENTRY_TOKENS = 10_000;

  /** Names are not canonicalized, as the table of those of a text may become large. */
  private static final ObjectMapper MAPPER =
      new ObjectMapper(
          JsonFactory.builder().disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES).build());

  private final TokenLimit parser;
  private final String field;
  private final int maxEntries;
  private int entries;
  private boolean inList;

  private JsonEntries(TokenLimit parser, String field, int maxEntries) {
    this.parser = parser;
    this.field = field;
    this.maxEntries = maxEntries;
  }

  /** Begins to read a text whose entries the caller bounds. */
  public static JsonEntries of(String text, String field) throws IOException {
    return of(text, field, Integer.MAX_VALUE);
  }

  /**
   * Begins to read a text.
   *
   * @param field the field of the object that holds the list
   * @param maxEntries number of entries above which reading fails
   * @throws IOException if the text is malformed
   */
  public static JsonEntries of(String text, String field, int maxEntries) throws IOException {
    JsonParser parser = MAPPER.createParser(text);
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      parser.skipChildren();
    }
    return new JsonEntries(new TokenLimit(parser), field, maxEntries);
  }

  /**
   * Returns the next entry; empty after the last one.
   *
   * @throws IOException if the text is malformed or there are too many entries or values of an
   *     entry
   */
  public Optional<JsonNode> next() throws IOException {
    parser.tokens = 0;
    while (inList || findList()) {
      if (parser.nextToken() != JsonToken.END_ARRAY) {
        entries++;
        if (entries > maxEntries) {
          throw new StreamConstraintsException("a list has more than " + maxEntries + " entries");
        }
        return Optional.of(MAPPER.readTree(parser));
      }
      inList = false;
    }
    return Optional.empty();
  }

  /** Moves to the beginning of the list; false at the end of the text. */
  private boolean findList() throws IOException {
    JsonParser unlimited = parser.delegate();
    while (unlimited.nextToken() == JsonToken.FIELD_NAME) {
      boolean found = unlimited.currentName().equals(field);
      inList = unlimited.nextToken() == JsonToken.START_ARRAY && found;
      if (inList) {
        return true;
      }
      unlimited.skipChildren();
    }
    return false;
  }

  /** Counts tokens, and fails above a limit. */
  private static final class TokenLimit extends JsonParserDelegate {
    private int tokens;

    TokenLimit(JsonParser parser) {
      super(parser);
    }

    @Override
    public JsonToken nextToken() throws IOException {
      tokens++;
      if (tokens > MAX_ENTRY_TOKENS) {
        throw new StreamConstraintsException("an entry of a list has too many values");
      }
      return super.nextToken();
    }
  }
}
