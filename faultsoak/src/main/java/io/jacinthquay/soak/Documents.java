package io.jacinthquay.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jacinthquay.model.RequestId;
import java.util.Locale;

/**
 * The documents that the operator puts into force. What a document holds follows from its version
 * alone: some routes move between two services, and one customer's key comes and goes.
 */
final class Documents {
  static final String HOST = "soak.example";

  /** Longest time that a route lets a caller wait, in milliseconds. */
  static final int TIMEOUT_MILLIS = 3_000;

  /** Targets of the routes, in milliseconds; each version's differ from those of the next ones. */
  private static final int LEAST_TARGET_MILLIS = 500;

  private static final int TARGETS = 7;
  private static final int GAP_TARGET_MILLIS = 500;

  /** More connections to a service's upstreams than the callers of a run can ask for. */
  private static final int CONNECTIONS = 1_000;

  private static final int SERVICES = 2;

  /** The least number of upstreams that gives each service one in each failure domain. */
  static final int LEAST_UPSTREAMS = SERVICES * Deployment.DOMAINS;

  /** One of so many versions lacks the customer whose key comes and goes. */
  private static final int WITHOUT_ONE_IN = 3;

  /** Who asks; the request's id decides. */
  enum Customer {
    STAYS,
    COMES_AND_GOES,
    /** No document ever holds its key. */
    UNKNOWN;

    private static final int SHARES = 20;
    private static final int OF_COMES_AND_GOES = 5;

    static Customer of(RequestId id) {
      int share = Math.floorMod(id.value().hashCode(), SHARES);
      if (share == 0) {
        return UNKNOWN;
      }
      return share <= OF_COMES_AND_GOES ? COMES_AND_GOES : STAYS;
    }

    /** Returns the name that upstreams are told. */
    String label() {
      return "customer-" + name().toLowerCase(Locale.ROOT);
    }

    String key() {
      return "key-of-" + label();
    }

    /** Returns whether a version of the document holds the customer's key. */
    boolean isIn(long version) {
      return switch (this) {
        case STAYS -> true;
        case COMES_AND_GOES -> version % WITHOUT_ONE_IN != 0;
        case UNKNOWN -> false;
      };
    }
  }

  private Documents() {}

  /** Returns the service that the upstream with a number belongs to. */
  static String serviceOf(int upstream) {
    return "service-" + upstream / Deployment.DOMAINS % SERVICES;
  }

  /** Returns the service that a version's route leads to. */
  static String service(CallKind kind, long version) {
    int bit =
        switch (kind) {
          case SAFE, RESUME -> 1;
          case ONCE -> 2;
          case STREAM -> Long.SIZE - 1;
        };
    return "service-" + (version >>> bit & 1);
  }

  /** Returns a document; each version has other targets. */
  static String version(long number) {
    ObjectNode document = JsonNodeFactory.instance.objectNode().put("version", number);
    ArrayNode routes = document.putArray("routes");
    for (CallKind kind : CallKind.values()) {
      routes
          .addObject()
          .put("name", "r-" + kind.name().toLowerCase(Locale.ROOT))
          .put("host", HOST)
          .put("path_prefix", kind.prefix())
          .put("kind", kind.wireKind())
          .put("timeout_ms", TIMEOUT_MILLIS)
          .put("target_latency_ms", LEAST_TARGET_MILLIS + number % TARGETS)
          .put("priority", 1)
          .put("service", service(kind, number))
          .put("max_attempts", kind.mostRuns())
          .put("anonymous_access", false)
          .put("stream_resumption", kind.resumes())
          .put("gap_target_ms", kind.isStream() ? GAP_TARGET_MILLIS : 0);
    }
    ArrayNode services = document.putArray("services");
    for (int i = 0; i < SERVICES; i++) {
      services
          .addObject()
          .put("name", "service-" + i)
          .put("health_check_path", "/health")
          .put("connection_limit", CONNECTIONS);
    }
    document.putObject("limits");
    ArrayNode customers = document.putArray("tenants");
    for (Customer customer : Customer.values()) {
      if (customer.isIn(number)) {
        customers
            .addObject()
            .put("name", customer.label())
            .put("priority", 1)
            .putArray("api_keys")
            .add(customer.key());
      }
    }
    return document.toString();
  }
}
