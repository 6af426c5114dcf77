package io.jacinthquay.router.service.report;

import io.jacinthquay.model.ResultCode;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/** Logs one JSON line per request, without keys, queries or bodies. */
public final class RequestLog implements RequestReporter {
  private static final Logger log = LogManager.getLogger("io.jacinthquay.request");

  @Override
  public void report(RequestRecord entry) {
    if (!log.isInfoEnabled()) {
      return;
    }
    StringMapMessage line = new StringMapMessage();
    line.put("request_id", entry.id().value());
    line.put("method", entry.method());
    line.put("path", entry.path());
    entry.customer().ifPresent(customer -> line.put("customer", customer.value()));
    entry.className().ifPresent(name -> line.put("class", name.value()));
    line.put("target", entry.target());
    entry.upstream().ifPresent(upstream -> line.put("upstream", upstream.value()));
    line.put("outcome", entry.outcome().text());
    entry.code().ifPresent(code -> putCode(line, code));
    StringMapMessage unused =
        line.with("attempts", entry.attempts())
            .with("first_byte_us", TimeUnit.NANOSECONDS.toMicros(entry.firstByteNanos()))
            .with("whole_us", TimeUnit.NANOSECONDS.toMicros(entry.wholeNanos()))
            .with("input_tokens", entry.inputTokens())
            .with("output_tokens", entry.outputTokens());
    log.info(line);
  }

  private static void putCode(StringMapMessage line, ResultCode code) {
    line.put("code", Integer.toString(code.number()));
    line.put("name", code.name());
  }
}
