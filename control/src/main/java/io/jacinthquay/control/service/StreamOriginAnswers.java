package io.jacinthquay.control.service;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.jacinthquay.decision.origin.OriginTable;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.StreamId;
import io.jacinthquay.wire.convert.OriginMessages;
import io.jacinthquay.wire.gen.StreamOriginsMessage;
import io.jacinthquay.wire.gen.StreamQuestionMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Answers routers that ask the leader which versions began streams. Thread-safe. */
public final class StreamOriginAnswers {
  private final Leadership leadership;
  private final StreamOriginsTable origins;
  private final PoolVersionMonitor versions;
  private final Counter found = new Counter();
  private final Counter notFound = new Counter();
  private final Counter notYet = new Counter();

  /**
   * Returns answers.
   *
   * @param origins what routers have reported
   * @param versions which versions the pools have had
   */
  public StreamOriginAnswers(
      Leadership leadership, StreamOriginsTable origins, PoolVersionMonitor versions) {
    this.leadership = leadership;
    this.origins = origins;
    this.versions = versions;
  }

  /** Registers the metrics; docs/METRICS.md lists them. */
  public void register(MetricRegistry registry) {
    registry.gauge(metric("found"), () -> found::getCount);
    registry.gauge(metric("not_found"), () -> notFound::getCount);
    registry.gauge(metric("not_yet"), () -> notYet::getCount);
  }

  private static String metric(String result) {
    return "jq_control_stream_origin_questions_total{result=\"" + result + "\"}";
  }

  /**
   * Answers questions; a VM that doesn't lead says only that. While the leader recovers it names no
   * only versions: its list may be that of a follower, older than the one with which a stream of
   * another version began.
   */
  public StreamOriginsMessage answer(List<StreamQuestionMessage> questions) {
    StreamOriginsMessage answer =
        new StreamOriginsMessage(leadership.isConfirmed(), new ArrayList<>(), new HashMap<>());
    if (!answer.isLeads()) {
      return answer;
    }
    // Read before the streams: one that is reported in between must not count as missing.
    answer.setRecovering(origins.isRecovering());
    Set<String> pools = new HashSet<>();
    for (StreamQuestionMessage question : questions) {
      addStream(answer, OriginMessages.stream(question));
      pools.add(question.getPool());
    }
    if (answer.isRecovering()) {
      return answer;
    }
    for (String pool : pools) {
      versions
          .onlyVersion(new PoolName(pool))
          .ifPresent(version -> answer.putToOnlyVersions(pool, version.value()));
    }
    return answer;
  }

  private void addStream(StreamOriginsMessage answer, Optional<StreamId> stream) {
    Optional<OriginTable.Aged> origin = stream.flatMap(origins::find);
    origin.ifPresent(aged -> answer.addToFound(OriginMessages.toMessage(aged)));
    if (stream.isPresent()) {
      Counter missing = answer.isRecovering() ? notYet : notFound;
      (origin.isPresent() ? found : missing).inc();
    }
  }
}
