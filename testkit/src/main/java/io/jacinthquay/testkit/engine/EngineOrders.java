package io.jacinthquay.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Orders that a fake engine received. */
public final class EngineOrders {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final List<String> accepted = new ArrayList<>();
  private long highestFencingToken;
  private boolean checksFencing = true;

  EngineOrders() {}

  /** Sets whether orders with an old fencing token are rejected. */
  public synchronized void setFencingCheck(boolean enabled) {
    checksFencing = enabled;
  }

  /** Returns the bodies of all accepted orders. */
  public synchronized List<String> accepted() {
    return List.copyOf(accepted);
  }

  /** Accepts or rejects an order and returns the HTTP status of the response. */
  synchronized int receive(String body) {
    try {
      JsonNode order = MAPPER.readTree(body);
      long fencingToken = order.path("fencing").asLong();
      if (checksFencing && fencingToken < highestFencingToken) {
        return StatusCodes.CONFLICT;
      }
      highestFencingToken = Math.max(highestFencingToken, fencingToken);
      accepted.add(body);
      return StatusCodes.OK;
    } catch (IOException e) {
      return StatusCodes.BAD_REQUEST;
    }
  }
}
