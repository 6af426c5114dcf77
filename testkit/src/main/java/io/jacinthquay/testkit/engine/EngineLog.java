package io.jacinthquay.testkit.engine;

import java.util.ArrayList;
import java.util.List;

/** What a fake engine ran, in the order in which requests arrived. */
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
    return entries.stream().map(Entry::view).toList();
  }

  /** One request. */
  static final class Entry {
    private final String requestId;
    private final String body;
    private final String headers;
    private final EngineRequest request;
    private volatile int sent;
    private volatile boolean whole;

    private Entry(String requestId, String body, String headers, EngineRequest request) {
      this.requestId = requestId;
      this.body = body;
      this.headers = headers;
      this.request = request;
    }

    void sent(int tokens) {
      sent = tokens;
    }

    void whole() {
      whole = true;
    }

    private EngineRun view() {
      return new EngineRun(
          requestId, body, headers, request.priority(), request.firstToken(), sent, whole);
    }
  }
}
