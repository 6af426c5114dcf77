package io.jacinthquay.controller.adapter.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jacinthquay.controller.port.ClosedWindow;
import io.jacinthquay.controller.port.Order;
import io.jacinthquay.controller.port.Platform;
import io.jacinthquay.controller.port.PlatformVm;
import io.jacinthquay.controller.port.Price;
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
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/** The platform's HTTP interface, as docs/PLATFORM-INTERFACES.md describes it. */
public final class HttpPlatform implements Platform {
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
  private static final String FENCING_HEADER = "x-fencing";
  private static final int REQUEST_TIMEOUT = 408;
  private static final int CONFLICT = 409;
  private static final int SERVER_ERROR = 500;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final InetSocketAddress address;
  private final JsonHttpClient http;

  /**
   * Returns an adapter.
   *
   * @param address the platform
   * @param http a started client
   */
  public HttpPlatform(InetSocketAddress address, JsonHttpClient http) {
    this.address = Objects.requireNonNull(address, "address");
    this.http = Objects.requireNonNull(http, "http");
  }

  @Override
  public Either<Failure, String> order(
      Order order, FencingToken fencing, Duration timeout, BooleanSupplier mayWrite) {
    HttpCall call = HttpCall.post(address, "/orders", order.json(), timeout);
    return send(call, fencing, mayWrite);
  }

  @Override
  public Either<Failure, Void> report(
      ClosedWindow window, FencingToken fencing, Duration timeout, BooleanSupplier mayWrite) {
    String body = ReportJson.write(window);
    HttpCall call = HttpCall.post(address, "/usage-reports", body, timeout);
    return send(call, fencing, mayWrite).map(answer -> null);
  }

  private Either<Failure, String> send(
      HttpCall call, FencingToken fencing, BooleanSupplier mayWrite) {
    HttpHeader header = new HttpHeader(FENCING_HEADER, Long.toString(fencing.value()));
    return http.call(call.withHeader(header).withWriteCondition(mayWrite))
        .flatMap(HttpPlatform::accepted);
  }

  private static Either<Failure, String> accepted(HttpResponse answer) {
    if (answer.isSuccess()) {
      return Either.right(answer.body());
    }
    return Either.left(
        Failure.of(
            code(answer.status()),
            "the platform answered " + answer.status() + ": " + answer.body()));
  }

  /** A platform that failed, or heard only part of a call, has promised nothing. */
  private static ResultCode code(int status) {
    if (status == CONFLICT) {
      return ResultCode.ORDER_CONFLICT;
    }
    return status >= SERVER_ERROR || status == REQUEST_TIMEOUT
        ? ResultCode.UPSTREAM_BROKE
        : ResultCode.UPSTREAM_REFUSED;
  }

  @Override
  public Either<Failure, List<PlatformVm>> vms() {
    return read("/vms", "vms", HttpPlatform::vm);
  }

  @Override
  public Either<Failure, List<Price>> prices() {
    return read("/prices", "pools", HttpPlatform::price);
  }

  private <T> Either<Failure, List<T>> read(
      String path, String field, Function<JsonNode, T> reader) {
    return http.call(HttpCall.get(address, path, READ_TIMEOUT))
        .flatMap(HttpPlatform::accepted)
        .flatMap(body -> readAll(body, field, reader));
  }

  private static <T> Either<Failure, List<T>> readAll(
      String body, String field, Function<JsonNode, T> reader) {
    try {
      List<T> read = new ArrayList<>();
      for (JsonNode node : MAPPER.readTree(body).path(field)) {
        read.add(reader.apply(node));
      }
      return Either.right(read);
    } catch (JsonProcessingException | IllegalArgumentException e) {
      return Either.left(
          Failure.of(ResultCode.UPSTREAM_BROKE, "the platform's answer has no valid " + field));
    }
  }

  private static PlatformVm vm(JsonNode node) {
    Optional<PoolName> pool =
        Optional.of(node.path("pool").asText()).filter(p -> !p.isEmpty()).map(PoolName::new);
    return new PlatformVm(
        new UpstreamId(node.path("name").asText()),
        new DomainId(node.path("domain").asText()),
        pool,
        node.path("address").asText(),
        node.path("market").asText().equals("cheap"),
        node.path("state").asText().equals("leaving"));
  }

  private static Price price(JsonNode node) {
    return new Price(
        new PoolName(node.path("pool").asText()),
        node.path("market").asText().equals("cheap"),
        node.path("per_hour").asDouble());
  }
}
