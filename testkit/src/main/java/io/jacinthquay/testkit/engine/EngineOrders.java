package io.jacinthquay.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Orders that a fake engine was given. */
public final class EngineOrders {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final List<String> accepted = new ArrayList<>();
  private long highestFencing;
  private boolean checksFencing = true;

  EngineOrders() {}

  /** Sets whether orders with an old fencing number are refused. */
  public synchronized void checksFencing(boolean on) {
    checksFencing = on;
  }

  /** Returns the bodies of all orders that were carried out. */
  public synchronized List<String> accepted() {
    return List.copyOf(accepted);
  }

  /** Returns the status of the answer. */
  synchronized int take(String body) {
    try {
      JsonNode order = MAPPER.readTree(body);
      long fencing = order.path("fencing").asLong();
      if (checksFencing && fencing < highestFencing) {
        return StatusCodes.CONFLICT;
      }
      highestFencing = Math.max(highestFencing, fencing);
      accepted.add(body);
      return StatusCodes.OK;
    } catch (IOException e) {
      return StatusCodes.BAD_REQUEST;
    }
  }
}
