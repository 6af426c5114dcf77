package io.jacinthquay.soak;

import java.util.Locale;

/** The documents that the operator puts into force. */
final class Documents {
  static final String HOST = "soak.example";
  static final String CUSTOMER = "customer-1";
  static final String KEY = "key-of-customer-1";
  static final String SERVICE = "service-1";

  /** Longest time that a route lets a caller wait, in milliseconds. */
  static final int TIMEOUT_MILLIS = 3_000;

  private Documents() {}

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
          .append(",\"priority\":1,\"service\":\"" + SERVICE + "\",\"max_attempts\":")
          .append(kind.mostRuns())
          .append(",\"anonymous_access\":false,\"stream_resumption\":")
          .append(kind.resumes())
          .append(kind.isStream() ? ",\"gap_target_ms\":500}" : "}");
    }
    return "{\"version\":"
        + number
        + ",\"routes\":["
        + routes
        + "],\"services\":[{\"name\":\""
        + SERVICE
        + "\",\"health_check_path\":\"/health\",\"connection_limit\":1000}],"
        + "\"limits\":{},\"tenants\":[{\"name\":\""
        + CUSTOMER
        + "\",\"api_keys\":[\""
        + KEY
        + "\"],\"priority\":1}]}";
  }
}
