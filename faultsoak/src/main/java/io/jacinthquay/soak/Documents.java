package io.jacinthquay.soak;

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
    StringBuilder routes = new StringBuilder();
    for (CallKind kind : CallKind.values()) {
      routes
          .append(routes.length() == 0 ? "" : ",")
          .append("{\"name\":\"r-")
          .append(kind.name().toLowerCase(Locale.ROOT))
          .append("\",\"host\":\"" + HOST + "\",\"path_prefix\":\"")
          .append(kind.prefix())
          .append("\",\"kind\":\"")
          .append(kind.wireKind())
          .append("\",\"timeout_ms\":" + TIMEOUT_MILLIS + ",\"target_latency_ms\":")
          .append(500 + number % 7)
          .append(",\"priority\":1,\"service\":\"")
          .append(service(kind, number))
          .append("\",\"max_attempts\":")
          .append(kind.mostRuns())
          .append(",\"anonymous_access\":false,\"stream_resumption\":")
          .append(kind.resumes())
          .append(kind.isStream() ? ",\"gap_target_ms\":500}" : "}");
    }
    StringBuilder services = new StringBuilder();
    for (int i = 0; i < SERVICES; i++) {
      services
          .append(i == 0 ? "" : ",")
          .append("{\"name\":\"service-")
          .append(i)
          .append("\",\"health_check_path\":\"/health\",\"connection_limit\":1000}");
    }
    StringBuilder customers = new StringBuilder();
    for (Customer customer : Customer.values()) {
      if (customer.isIn(number)) {
        customers
            .append(customers.length() == 0 ? "" : ",")
            .append("{\"name\":\"")
            .append(customer.label())
            .append("\",\"api_keys\":[\"")
            .append(customer.key())
            .append("\"],\"priority\":1}");
      }
    }
    return "{\"version\":"
        + number
        + ",\"routes\":["
        + routes
        + "],\"services\":["
        + services
        + "],\"limits\":{},\"tenants\":["
        + customers
        + "]}";
  }
}
