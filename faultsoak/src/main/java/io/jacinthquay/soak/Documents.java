package io.jacinthquay.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jacinthquay.model.RequestId;
import java.util.Locale;

/**
 * The configuration documents of a run. A document's content depends only on its version: some
 * routes move between two services, and the key of one customer is absent from some versions.
 */
final class Documents {
  static final String HOST = "soak.example";

  /** Timeout of every route. */
  static final int TIMEOUT_MILLIS = 3_000;

  /** Latency target of a route; it is raised by 0 to 6 ms so that consecutive versions differ. */
  private static final int MIN_TARGET_MILLIS = 500;

  private static final int TARGET_COUNT = 7;
  private static final int GAP_TARGET_MILLIS = 500;

  /** Connection limit of a service; more than the callers of a run can need. */
  private static final int CONNECTION_LIMIT = 1_000;

  static final int SERVICE_COUNT = 2;

  /** Smallest number of upstreams that gives each service one in each failure domain. */
  static final int MIN_UPSTREAMS = SERVICE_COUNT * Deployment.DOMAINS;

  /** One version in this many lacks {@link Customer#COMES_AND_GOES}. */
  private static final int ABSENT_ONE_IN = 3;

  /** The customer of a request, determined by the request's id. */
  enum Customer {
    /** Every document has its key. */
    STAYS,
    /** Some documents have its key. */
    COMES_AND_GOES,
    /** No document has its key. */
    UNKNOWN;

    private static final int SHARE_COUNT = 20;
    private static final int COMES_AND_GOES_SHARES = 5;

    static Customer of(RequestId id) {
      int share = Math.floorMod(id.value().hashCode(), SHARE_COUNT);
      if (share == 0) {
        return UNKNOWN;
      }
      return share <= COMES_AND_GOES_SHARES ? COMES_AND_GOES : STAYS;
    }

    /** Returns the name that routers pass to upstreams. */
    String label() {
      return "customer-" + name().toLowerCase(Locale.ROOT);
    }

    String key() {
      return "key-of-" + label();
    }

    /** Returns whether a version of the document has the customer's key. */
    boolean isIn(long version) {
      return switch (this) {
        case STAYS -> true;
        case COMES_AND_GOES -> version % ABSENT_ONE_IN != 0;
        case UNKNOWN -> false;
      };
    }
  }

  private Documents() {}

  /** Returns the service of the upstream with a number. */
  static String serviceOf(int upstream) {
    return "service-" + upstream / Deployment.DOMAINS % SERVICE_COUNT;
  }

  /** Returns the place of an upstream among those of its service; the first has 0. */
  static int placeInService(int upstream) {
    return upstream / MIN_UPSTREAMS * Deployment.DOMAINS + upstream % Deployment.DOMAINS;
  }

  /** Returns the service to which a version routes a kind of request. */
  static String routedService(CallKind kind, long version) {
    int bit =
        switch (kind) {
          case SAFE -> 1;
          case ONCE -> 2;
          // Most streams can be taken up at the service that began them.
          case RESUME -> 4;
          case STREAM -> Long.SIZE - 1;
        };
    return "service-" + (version >>> bit & 1);
  }

  /** Returns the document of a version as JSON. */
  static String document(long version) {
    ObjectNode document = JsonNodeFactory.instance.objectNode().put("version", version);
    ArrayNode routes = document.putArray("routes");
    for (CallKind kind : CallKind.values()) {
      routes
          .addObject()
          .put("name", "r-" + kind.name().toLowerCase(Locale.ROOT))
          .put("host", HOST)
          .put("path_prefix", kind.pathPrefix())
          .put("kind", kind.wireKind())
          .put("timeout_ms", TIMEOUT_MILLIS)
          .put("target_latency_ms", MIN_TARGET_MILLIS + version % TARGET_COUNT)
          .put("priority", 1)
          .put("service", routedService(kind, version))
          .put("max_attempts", kind.maxRuns())
          .put("anonymous_access", false)
          .put("stream_resumption", kind.isResumable())
          .put("gap_target_ms", kind.isStream() ? GAP_TARGET_MILLIS : 0);
    }
    ArrayNode services = document.putArray("services");
    for (int i = 0; i < SERVICE_COUNT; i++) {
      services
          .addObject()
          .put("name", "service-" + i)
          .put("health_check_path", "/health")
          .put("connection_limit", CONNECTION_LIMIT);
    }
    document.putObject("limits");
    ArrayNode customers = document.putArray("tenants");
    for (Customer customer : Customer.values()) {
      if (customer.isIn(version)) {
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
