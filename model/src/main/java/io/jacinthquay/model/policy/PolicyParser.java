package io.jacinthquay.model.policy;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonMappingException;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Parses the policy document and reports all of its errors with line and column.
 *
 * <pre>{@code
 * Either<List<PolicyError>, PolicyDocument> parsed = PolicyParser.parse(text);
 * }</pre>
 */
public final class PolicyParser {
  private final String text;
  private final List<PolicyError> errors = new ArrayList<>();
  private final Map<EntityKey, String> entities = new TreeMap<>();
  private final Map<EntityKey, SourcePosition> positions = new TreeMap<>();

  private PolicyParser(String text) {
    this.text = text;
  }

  /** The position of an entity in the document. */
  record SourcePosition(int line, int column, String path) {}

  /**
   * Parses a document.
   *
   * @param text the JSON text
   * @return the document, or every error found
   */
  public static Either<List<PolicyError>, PolicyDocument> parse(String text) {
    PolicyParser parser = new PolicyParser(text);
    parser.readDocument();
    if (parser.errors.isEmpty()) {
      parser.checkReferences();
    }
    return parser.errors.isEmpty()
        ? Either.right(new PolicyDocument(parser.entities))
        : Either.left(List.copyOf(parser.errors));
  }

  private void readDocument() {
    try (JsonParser json = EntityJson.mapper().getFactory().createParser(text)) {
      if (json.nextToken() != JsonToken.START_OBJECT) {
        addError(json.currentTokenLocation(), "/", "the document must be a JSON object");
        return;
      }
      while (json.nextToken() == JsonToken.FIELD_NAME) {
        readSection(json);
      }
      if (json.nextToken() != null) {
        addError(json.currentTokenLocation(), "/", "unexpected text after the end of the document");
      }
    } catch (JsonProcessingException e) {
      addError(e.getLocation(), "/", e.getOriginalMessage());
    } catch (IOException e) {
      addError(null, "/", String.valueOf(e.getMessage()));
    }
  }

  private void readSection(JsonParser json) throws IOException {
    String section = json.currentName();
    JsonLocation location = json.currentTokenLocation();
    Optional<EntityKind> kind = EntityKind.ofSection(section).filter(EntityKind::inDocument);
    JsonToken start = json.nextToken();
    if (kind.isEmpty()) {
      addError(location, "/" + section, "unknown section");
      json.skipChildren();
      return;
    }
    if (start != JsonToken.START_ARRAY) {
      addError(location, "/" + section, "must be an array");
      json.skipChildren();
      return;
    }
    for (int i = 0; json.nextToken() != JsonToken.END_ARRAY; i++) {
      readEntity(json, kind.get(), "/" + section + "/" + i);
    }
  }

  private void readEntity(JsonParser json, EntityKind kind, String path) throws IOException {
    JsonLocation start = json.currentTokenLocation();
    json.skipChildren();
    int startOffset = (int) start.getCharOffset();
    int endOffset = (int) json.currentLocation().getCharOffset();
    String source = text.substring(startOffset, endOffset);
    try {
      Object entity = EntityJson.mapper().readValue(source, kind.type());
      addEntity(kind, entity, source, start, path);
    } catch (JsonMappingException e) {
      addError(documentLocation(start, e.getLocation()), path + pointer(e), EntityJson.message(e));
    }
  }

  private void addEntity(
      EntityKind kind, Object entity, String source, JsonLocation start, String path) {
    EntityKey key = new EntityKey(kind, EntityNames.of(entity));
    if (entities.containsKey(key)) {
      addError(start, path, "duplicate name " + key.name());
      return;
    }
    entities.put(key, EntityJson.canonical(source));
    positions.put(key, new SourcePosition(start.getLineNr(), start.getColumnNr(), path));
  }

  private void checkReferences() {
    for (ReferenceValidator.DanglingReference dangling :
        ReferenceValidator.danglingReferences(entities)) {
      SourcePosition position = positions.get(dangling.source());
      String message =
          "refers to the unknown entry "
              + dangling.target().name()
              + " of "
              + dangling.target().kind().section();
      errors.add(new PolicyError(position.line(), position.column(), position.path(), message));
    }
  }

  private static JsonLocation documentLocation(JsonLocation start, JsonLocation inner) {
    if (inner == null || inner.getLineNr() < 1) {
      return start;
    }
    int line = start.getLineNr() + inner.getLineNr() - 1;
    boolean firstLine = inner.getLineNr() == 1;
    int column = firstLine ? start.getColumnNr() + inner.getColumnNr() - 1 : inner.getColumnNr();
    return new JsonLocation(inner.contentReference(), -1, line, column);
  }

  private static String pointer(JsonMappingException e) {
    StringBuilder pointer = new StringBuilder();
    for (JsonMappingException.Reference reference : e.getPath()) {
      pointer.append('/');
      pointer.append(
          reference.getFieldName() == null ? reference.getIndex() : reference.getFieldName());
    }
    return pointer.toString();
  }

  private void addError(JsonLocation location, String path, String message) {
    int line = location == null ? 0 : location.getLineNr();
    int column = location == null ? 0 : location.getColumnNr();
    errors.add(new PolicyError(line, column, path, message));
  }
}
