package io.jacinthquay.controller.adapter.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.jacinthquay.controller.port.Order;
import io.jacinthquay.controller.port.Platform;
import io.jacinthquay.controller.port.PlatformVm;
import io.jacinthquay.controller.port.Price;
import io.jacinthquay.controller.port.SealedUsageWindow;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.FencingToken;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.runtime.http.HttpCall;
import io.jacinthquay.runtime.http.HttpHeader;
import io.jacinthquay.runtime.http.HttpResponse;
import io.jacinthquay.runtime.http.JsonHttpClient;
import io.jacinthquay.runtime.json.JsonEntries;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/** Calls the platform's HTTP interface, which docs/PLATFORM-INTERFACES.md describes. */
public final class HttpPlatform implements Platform {
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
  private static final String FENCING_HEADER = "x-fencing";
  private static final int STATUS_REQUEST_TIMEOUT = 408;
  private static final int STATUS_CONFLICT = 409;
  private static final int MIN_STATUS_SERVER_ERROR = 500;

  /** Most entries of a list, each of which is kept. */
  private static final int MAX_ENTRIES = 10_000;

  private final InetSocketAddress address;
  private final JsonHttpClient http;

  /**
   * Returns a client of the platform.
   *
   * @param address the address of the platform
   * @param http a started client
   */
  public HttpPlatform(InetSocketAddress address, JsonHttpClient http) {
    this.address = Objects.requireNonNull(address, "address");
    this.http = Objects.requireNonNull(http, "http");
  }

  @Override
  public Either<Failure, String> sendOrder(
      Order order, FencingToken fencing, Duration timeout, BooleanSupplier mayWrite) {
    HttpCall call = HttpCall.post(address, "/orders", order.json(), timeout);
    return send(call, fencing, mayWrite);
  }

  @Override
  public Either<Failure, Void> sendReport(
      SealedUsageWindow window, FencingToken fencing, Duration timeout, BooleanSupplier mayWrite) {
    String body = ReportJson.write(window);
    HttpCall call = HttpCall.post(address, "/usage-reports", body, timeout);
    return send(call, fencing, mayWrite).map(response -> null);
  }

  private Either<Failure, String> send(
      HttpCall call, FencingToken fencing, BooleanSupplier mayWrite) {
    HttpHeader header = new HttpHeader(FENCING_HEADER, Long.toString(fencing.value()));
    return http.call(call.withHeader(header).withWriteCondition(mayWrite))
        .flatMap(HttpPlatform::bodyOfSuccess);
  }

  private static Either<Failure, String> bodyOfSuccess(HttpResponse response) {
    if (response.isSuccess()) {
      return Either.right(response.body());
    }
    return Either.left(
        Failure.of(
            resultCode(response.status()),
            "the platform answered " + response.status() + ": " + response.body()));
  }

  /**
   * Returns the result code for the status of a failed call.
   *
   * <p>After a server error or a 408 (request timeout) the outcome is unknown: the platform may
   * have carried the call out. Other statuses mean that it was rejected.
   */
  private static ResultCode resultCode(int status) {
    if (status == STATUS_CONFLICT) {
      return ResultCode.ORDER_CONFLICT;
    }
    return status >= MIN_STATUS_SERVER_ERROR || status == STATUS_REQUEST_TIMEOUT
        ? ResultCode.UPSTREAM_BROKE
        : ResultCode.UPSTREAM_REFUSED;
  }

  @Override
  public Either<Failure, List<PlatformVm>> vms() {
    return fetchList("/vms", "vms", HttpPlatform::parseVm);
  }

  @Override
  public Either<Failure, List<Price>> prices() {
    return fetchList("/prices", "pools", HttpPlatform::parsePrice);
  }

  private <T> Either<Failure, List<T>> fetchList(
      String path, String field, Function<JsonNode, T> parser) {
    return http.call(HttpCall.get(address, path, READ_TIMEOUT))
        .flatMap(HttpPlatform::bodyOfSuccess)
        .flatMap(body -> parseList(body, field, parser));
  }

  private static <T> Either<Failure, List<T>> parseList(
      String body, String field, Function<JsonNode, T> parser) {
    try {
      List<T> values = new ArrayList<>();
      JsonEntries entries = JsonEntries.of(body, field, MAX_ENTRIES);
      for (Optional<JsonNode> node = entries.next(); node.isPresent(); node = entries.next()) {
        values.add(parser.apply(node.get()));
      }
      return Either.right(values);
    } catch (IOException | IllegalArgumentException e) {
      return Either.left(
          Failure.of(ResultCode.UPSTREAM_BROKE, "the platform's answer has no valid " + field));
    }
  }

  private static PlatformVm parseVm(JsonNode node) {
    Optional<PoolName> pool =
        Optional.of(node.path("pool").asText()).filter(name -> !name.isEmpty()).map(PoolName::new);
    return new PlatformVm(
        new UpstreamId(node.path("name").asText()),
        new DomainId(node.path("domain").asText()),
        pool,
        node.path("address").asText(),
        node.path("market").asText().equals("cheap"),
        node.path("state").asText().equals("leaving"));
  }

  private static Price parsePrice(JsonNode node) {
    return new Price(
        new PoolName(node.path("pool").asText()),
        node.path("market").asText().equals("cheap"),
        node.path("per_hour").asDouble());
  }
}
