package io.jacinthquay.testkit.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jacinthquay.testkit.platform.PlatformLedger.LedgerAnswer;
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

  /** Carries out an order that the ledger has taken for the first time. */
  @FunctionalInterface
  public interface OrderEffect {
    /** Orders have no effect. */
    OrderEffect NONE = order -> {};

    /**
     * Carries out an order.
     *
     * @param order the body of the order
     */
    void carryOut(JsonNode order);
  }

  /**
   * Adds the pages {@code /orders} and {@code /usage-reports}.
   *
   * @param platform the platform that serves them
   * @param ledger takes orders and reports
   * @param effect carries orders out, on a worker thread
   */
  public static void install(FakePlatform platform, PlatformLedger ledger, OrderEffect effect) {
    LedgerPages pages = new LedgerPages(ledger, effect);
    platform.page("/orders", exchange -> pages.receive(exchange, pages::order));
    platform.page("/usage-reports", exchange -> pages.receive(exchange, pages::report));
  }

  private interface Taker {
    LedgerAnswer take(JsonNode body, long fencing);
  }

  private void receive(HttpServerExchange exchange, Taker taker) {
    exchange
        .getRequestReceiver()
        .receiveFullString(
            (e, text) -> e.dispatch(() -> answer(e, taker, text)), StandardCharsets.UTF_8);
  }

  private void answer(HttpServerExchange exchange, Taker taker, String text) {
    try {
      long fencing = Long.parseLong(exchange.getRequestHeaders().getFirst("x-fencing"));
      LedgerAnswer answer = taker.take(MAPPER.readTree(text), fencing);
      boolean good = answer == LedgerAnswer.TAKEN || answer == LedgerAnswer.REPEATED;
      exchange.setStatusCode(good ? StatusCodes.OK : StatusCodes.CONFLICT);
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
      exchange.getResponseSender().send("{\"answer\":\"" + answer + "\"}");
    } catch (JsonProcessingException | NumberFormatException e) {
      exchange.setStatusCode(StatusCodes.BAD_REQUEST);
      exchange.endExchange();
    }
  }

  private LedgerAnswer order(JsonNode body, long fencing) {
    String lease = body.path("lease").asText();
    String id = body.path("order_id").asText();
    LedgerAnswer answer = ledger.order(lease, fencing, id, body.toString());
    if (answer == LedgerAnswer.TAKEN) {
      effect.carryOut(body);
    }
    return answer;
  }

  private LedgerAnswer report(JsonNode body, long fencing) {
    int shard = body.path("shard").asInt();
    long start = body.path("window_start_ms").asLong();
    return ledger.report(shard, start, fencing, body.path("lines").toString());
  }
}
