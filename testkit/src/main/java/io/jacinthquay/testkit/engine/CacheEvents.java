package io.jacinthquay.testkit.engine;

import io.jacinthquay.decision.placement.PromptPrefix;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The prefix cache of a fake engine with its events, some of which are lost. */
final class CacheEvents {
  private static final int MAX_PREFIXES = 512;
  private static final int BLOCK_BYTES = 256;

  /** One event in this many is lost. */
  private static final int EVENTS_PER_LOSS = 10;

  private static final int MAX_EVENTS = 4_096;

  private final Map<String, Boolean> cached = new LinkedHashMap<>(16, 0.75f, true);
  private final List<String> events = new ArrayList<>();
  private long sequence;

  synchronized void storePrompt(String prompt) {
    byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
    PromptPrefix prefix =
        PromptPrefix.ofBytes(bytes, BLOCK_BYTES, PromptPrefix.DEFAULT_BLOCK_TOKENS);
    for (int block = 0; block < prefix.blocks(); block++) {
      store(Long.toHexString(prefix.hash(block)));
    }
  }

  private void store(String prefix) {
    if (cached.put(prefix, true) == null) {
      add("stored", prefix);
    }
    if (cached.size() > MAX_PREFIXES) {
      String oldest = cached.keySet().iterator().next();
      cached.remove(oldest);
      add("evicted", oldest);
    }
  }

  private void add(String kind, String prefix) {
    sequence++;
    if (sequence % EVENTS_PER_LOSS == 0) {
      return;
    }
    events.add(
        "{\"seq\":" + sequence + ",\"kind\":\"" + kind + "\",\"prefix\":\"" + prefix + "\"}");
    if (events.size() > MAX_EVENTS) {
      events.remove(0);
    }
  }

  synchronized String json(long since) {
    List<String> newer = events.stream().filter(event -> sequenceOf(event) > since).toList();
    return "{\"next\":" + sequence + ",\"events\":[" + String.join(",", newer) + "]}";
  }

  private static long sequenceOf(String event) {
    return Long.parseLong(event.substring("{\"seq\":".length(), event.indexOf(',')));
  }
}
