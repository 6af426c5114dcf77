package io.jacinthquay.keeper.state;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.wire.gen.ClaimAnswer;
import io.jacinthquay.wire.gen.ClaimRequest;
import io.jacinthquay.wire.gen.ClaimResult;
import io.jacinthquay.wire.gen.ClaimState;
import io.jacinthquay.wire.gen.CommandAnswer;
import io.jacinthquay.wire.gen.CompleteClaimCommand;
import io.jacinthquay.wire.gen.StoredIncarnation;
import io.vavr.Tuple2;
import io.vavr.collection.HashMap;
import io.vavr.collection.LinkedHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Idempotency claims. Each claim lets a single attempt of a single router run a request.
 *
 * @param running claims in progress, by key
 * @param ended claims that are done or whose outcome is unknown, oldest first
 * @param resultBytes total size of the stored results, in bytes
 * @param incarnations latest known incarnation of each claiming router, by router name
 */
record ClaimTable(
    HashMap<ClaimKey, Claim> running,
    LinkedHashMap<ClaimKey, Claim> ended,
    long resultBytes,
    HashMap<String, String> incarnations) {
  /** Maximum size of a stored result, in bytes; larger results are not stored. */
  static final int MAX_RESULT_BYTES = 64 << 10;

  /** Maximum total size of the stored results, in bytes; the oldest are evicted first. */
  static final long MAX_TOTAL_RESULT_BYTES = 32 << 20;

  /** Maximum number of claims; further ones are rejected so that none is evicted early. */
  static final int MAX_CLAIMS = 200_000;

  /** How long an ended claim is retained, in milliseconds. */
  static final long RETENTION_MILLIS = 24 * 3_600_000L;

  /** Maximum time in progress before the outcome counts as unknown, in milliseconds. */
  static final long RUNNING_LIMIT_MILLIS = 900_000;

  static final ClaimTable EMPTY =
      new ClaimTable(HashMap.empty(), LinkedHashMap.empty(), 0, HashMap.empty());

  TableUpdate<ClaimTable> begin(ClaimRequest request, StateClock clock) {
    ClaimKey key = ClaimKey.of(request);
    ClaimTable table =
        withIncarnation(request.getClaimant()).evictEndedBefore(clock.millis() - RETENTION_MILLIS);
    Optional<Claim> current = table.find(key);
    if (current.isEmpty()) {
      return table.beginNew(key, request, clock);
    }
    Claim claim = current.get();
    if (!claim.request().getBodyDigest().equals(request.getBodyDigest())) {
      return new TableUpdate<>(table, CommandAnswers.failure(ResultCode.CLAIM_BODY_DIFFERS));
    }
    if (claim.state() != ClaimState.IN_PROGRESS) {
      return new TableUpdate<>(table, answer(claim.state(), claim.result()));
    }
    if (claim.isMadeBy(request)) {
      return new TableUpdate<>(table, answer(ClaimState.FRESH, Optional.empty()));
    }
    if (!table.isAbandoned(claim, clock)) {
      return new TableUpdate<>(table, answer(ClaimState.IN_PROGRESS, Optional.empty()));
    }
    Claim unknown = claim.withState(ClaimState.OUTCOME_UNKNOWN, Optional.empty(), clock.millis());
    return new TableUpdate<>(
        table.end(key, unknown), answer(ClaimState.OUTCOME_UNKNOWN, Optional.empty()));
  }

  private TableUpdate<ClaimTable> beginNew(ClaimKey key, ClaimRequest request, StateClock clock) {
    if (running.size() + ended.size() >= MAX_CLAIMS) {
      return new TableUpdate<>(
          this, CommandAnswers.failure(ResultCode.CLAIM_UNAVAILABLE, "there are too many claims"));
    }
    Claim claim = new Claim(request, ClaimState.IN_PROGRESS, Optional.empty(), clock.millis());
    ClaimTable next = new ClaimTable(running.put(key, claim), ended, resultBytes, incarnations);
    return new TableUpdate<>(next, answer(ClaimState.FRESH, Optional.empty()));
  }

  private boolean isAbandoned(Claim claim, StateClock clock) {
    String claimant = claim.request().getClaimant();
    boolean replaced = !incarnations.get(nameOf(claimant)).contains(incarnationOf(claimant));
    return replaced || clock.millis() - claim.sinceMillis() > RUNNING_LIMIT_MILLIS;
  }

  TableUpdate<ClaimTable> complete(CompleteClaimCommand command, StateClock clock) {
    ClaimKey key = ClaimKey.of(command.getRequest());
    Optional<Claim> current = find(key).filter(c -> c.isMadeBy(command.getRequest()));
    if (current.isEmpty()) {
      return new TableUpdate<>(
          this, CommandAnswers.failure(ResultCode.ENTITY_UNKNOWN, "no such claim"));
    }
    if (current.get().state() == ClaimState.DONE) {
      return new TableUpdate<>(this, CommandAnswers.done());
    }
    Optional<ClaimResult> stored =
        Optional.ofNullable(command.getResult())
            .filter(r -> r.isSetBody() && r.getBody().length <= MAX_RESULT_BYTES);
    Claim done = current.get().withState(ClaimState.DONE, stored, clock.millis());
    return new TableUpdate<>(end(key, done), CommandAnswers.done());
  }

  TableUpdate<ClaimTable> release(ClaimRequest request) {
    ClaimKey key = ClaimKey.of(request);
    boolean releasable =
        find(key).filter(c -> c.isMadeBy(request) && c.state() != ClaimState.DONE).isPresent();
    if (!releasable) {
      return new TableUpdate<>(this, CommandAnswers.done());
    }
    ClaimTable next =
        new ClaimTable(running.remove(key), ended.remove(key), resultBytes, incarnations);
    return new TableUpdate<>(next, CommandAnswers.done());
  }

  private Optional<Claim> find(ClaimKey key) {
    return running.get(key).orElse(() -> ended.get(key)).toJavaOptional();
  }

  private ClaimTable end(ClaimKey key, Claim claim) {
    LinkedHashMap<ClaimKey, Claim> nextEnded = ended.remove(key).put(key, claim);
    long nextBytes = resultBytes + claim.resultBytes();
    return new ClaimTable(running.remove(key), nextEnded, nextBytes, incarnations).evictResults();
  }

  private ClaimTable evictResults() {
    if (resultBytes <= MAX_TOTAL_RESULT_BYTES) {
      return this;
    }
    List<Tuple2<ClaimKey, Claim>> next = new ArrayList<>();
    long bytes = resultBytes;
    for (Tuple2<ClaimKey, Claim> oldest : ended) {
      Claim claim = oldest._2();
      boolean evict = bytes > MAX_TOTAL_RESULT_BYTES / 2;
      bytes -= evict ? claim.resultBytes() : 0;
      next.add(evict ? oldest.update2(claim.withoutResult()) : oldest);
    }
    return new ClaimTable(running, LinkedHashMap.ofEntries(next), bytes, incarnations);
  }

  /** Ends claims that have been in progress for too long, with an unknown outcome. */
  ClaimTable sweep(StateClock clock) {
    ClaimTable next = this;
    for (Tuple2<ClaimKey, Claim> entry : running) {
      Claim claim = entry._2();
      if (clock.millis() - claim.sinceMillis() > RUNNING_LIMIT_MILLIS) {
        Claim unknown =
            claim.withState(ClaimState.OUTCOME_UNKNOWN, Optional.empty(), clock.millis());
        next = next.end(entry._1(), unknown);
      }
    }
    return next;
  }

  private ClaimTable evictEndedBefore(long millis) {
    LinkedHashMap<ClaimKey, Claim> next = ended;
    long bytes = resultBytes;
    while (!next.isEmpty() && next.head()._2().sinceMillis() < millis) {
      bytes -= next.head()._2().resultBytes();
      next = next.tail();
    }
    return next == ended ? this : new ClaimTable(running, next, bytes, incarnations);
  }

  private ClaimTable withIncarnation(String claimant) {
    String name = nameOf(claimant);
    String incarnation = incarnationOf(claimant);
    return incarnations.get(name).contains(incarnation)
        ? this
        : new ClaimTable(running, ended, resultBytes, incarnations.put(name, incarnation));
  }

  ClaimTable withRestored(Claim claim) {
    ClaimKey key = ClaimKey.of(claim.request());
    return claim.state() == ClaimState.IN_PROGRESS
        ? new ClaimTable(running.put(key, claim), ended, resultBytes, incarnations)
        : new ClaimTable(
            running, ended.put(key, claim), resultBytes + claim.resultBytes(), incarnations);
  }

  ClaimTable withRestored(StoredIncarnation stored) {
    return new ClaimTable(
        running,
        ended,
        resultBytes,
        incarnations.put(stored.getClaimant(), stored.getIncarnation()));
  }

  private static String nameOf(String claimant) {
    int slash = claimant.lastIndexOf('/');
    return slash < 0 ? claimant : claimant.substring(0, slash);
  }

  private static String incarnationOf(String claimant) {
    int slash = claimant.lastIndexOf('/');
    return slash < 0 ? "" : claimant.substring(slash + 1);
  }

  private static CommandAnswer answer(ClaimState state, Optional<ClaimResult> result) {
    ClaimAnswer answer = new ClaimAnswer(state);
    result.ifPresent(answer::setResult);
    return CommandAnswer.claim(answer);
  }
}
