package io.jacinthquay.controller.adapter.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jacinthquay.controller.port.SealedUsageWindow;
import io.jacinthquay.controller.port.UsageLine;

/** Writes the body of a usage report; the same window always gives the same bytes. */
final class ReportJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ReportJson() {}

  static String write(SealedUsageWindow window) {
    ObjectNode report = MAPPER.createObjectNode();
    report.put("shard", window.shard());
    report.put("window_start_ms", window.startMillis());
    for (UsageLine line : window.lines()) {
      report.withArray("lines").add(write(line));
    }
    return report.toString();
  }

  private static ObjectNode write(UsageLine line) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("customer", line.customer().value());
    node.put("model", line.model());
    node.put("requests", line.requests());
    node.put("input_tokens", line.inputTokens());
    node.put("output_tokens", line.outputTokens());
    node.put("occurred_ms", line.occurredMillis());
    return node;
  }
}
