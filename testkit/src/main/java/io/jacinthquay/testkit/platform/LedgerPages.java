package io.jacinthquay.testkit.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jacinthquay.testkit.platform.PlatformLedger.LedgerResult;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * Serves a {@link PlatformLedger} as pages of a {@link FakePlatform}.
 *
 * <pre>{@code
 * LedgerPages.install(platform, ledger, OrderEffect.NONE);
 * }</pre>
 */
public final class LedgerPages {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final PlatformLedger ledger;
  private final OrderEffect effect;

  private LedgerPages(PlatformLedger ledger, OrderEffect effect) {
    this.ledger = Objects.requireNonNull(ledger, "ledger");
    this.effect = Objects.requireNonNull(effect, "effect");
  }

  /** Executes an order that the ledger accepted for the first time. */
  @FunctionalInterface
  public interface OrderEffect {
    /** Orders have no effect. */
    OrderEffect NONE = order -> {};

    /**
     * Executes an order.
     *
     * @param order the body of the order
     */
    void execute(JsonNode order);
  }

  /**
   * Adds the pages {@code /orders} and {@code /usage-reports}.
   *
   * @param platform the platform that serves them
   * @param ledger records orders and reports
   * @param effect executes orders, on a worker thread
   */
  public static void install(FakePlatform platform, PlatformLedger ledger, OrderEffect effect) {
    LedgerPages pages = new LedgerPages(ledger, effect);
    platform.addPage("/orders", exchange -> pages.receive(exchange, pages::order));
    platform.addPage("/usage-reports", exchange -> pages.receive(exchange, pages::report));
  }

  private interface RequestHandler {
    LedgerResult handle(JsonNode body, long fencingToken);
  }

  private void receive(HttpServerExchange exchange, RequestHandler handler) {
    exchange
        .getRequestReceiver()
        .receiveFullString(
            (received, text) -> received.dispatch(() -> respond(received, handler, text)),
            StandardCharsets.UTF_8);
  }

  private void respond(HttpServerExchange exchange, RequestHandler handler, String text) {
    try {
      long fencingToken = Long.parseLong(exchange.getRequestHeaders().getFirst("x-fencing"));
      LedgerResult result = handler.handle(MAPPER.readTree(text), fencingToken);
      boolean accepted = result == LedgerResult.TAKEN || result == LedgerResult.REPEATED;
      exchange.setStatusCode(accepted ? StatusCodes.OK : StatusCodes.CONFLICT);
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
      exchange.getResponseSender().send("{\"answer\":\"" + result + "\"}");
    } catch (JsonProcessingException | NumberFormatException e) {
      exchange.setStatusCode(StatusCodes.BAD_REQUEST);
      exchange.endExchange();
    }
  }

  private LedgerResult order(JsonNode body, long fencingToken) {
    String lease = body.path("lease").asText();
    String id = body.path("order_id").asText();
    LedgerResult result = ledger.recordOrder(lease, fencingToken, id, body.toString());
    if (result == LedgerResult.TAKEN) {
      effect.execute(body);
    }
    return result;
  }

  private LedgerResult report(JsonNode body, long fencingToken) {
    int shard = body.path("shard").asInt();
    long start = body.path("window_start_ms").asLong();
    return ledger.recordReport(shard, start, fencingToken, body.path("lines").toString());
  }
}
