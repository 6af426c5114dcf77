package io.jacinthquay.testkit.engine;

import java.util.ArrayList;
import java.util.List;

/** Records the requests that a fake engine ran, in the order of arrival. */
final class EngineLog {
  private static final int MAX_ENTRIES = 200_000;

  private final List<Entry> entries = new ArrayList<>();

  synchronized Entry add(String requestId, String body, String headers, EngineRequest request) {
    Entry entry = new Entry(requestId, body, headers, request);
    if (entries.size() < MAX_ENTRIES) {
      entries.add(entry);
    }
    return entry;
  }

  synchronized List<EngineRun> runs() {
    return entries.stream().map(Entry::toRun).toList();
  }

  /** A recorded request. */
  static final class Entry {
    private final String requestId;
    private final String body;
    private final String headers;
    private final EngineRequest request;
    private volatile int sentTokens;
    private volatile boolean complete;

    private Entry(String requestId, String body, String headers, EngineRequest request) {
      this.requestId = requestId;
      this.body = body;
      this.headers = headers;
      this.request = request;
    }

    void setSentTokens(int tokens) {
      sentTokens = tokens;
    }

    void setComplete() {
      complete = true;
    }

    private EngineRun toRun() {
      return new EngineRun(
          requestId, body, headers, request.priority(), request.firstToken(), sentTokens, complete);
    }
  }
}
