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
 * Claims on idempotency keys: each lets one attempt of one router run a request.
 *
 * @param running claims in progress
 * @param ended claims that are done or whose outcome is unknown, oldest first
 * @param resultBytes size of all results kept
 * @param incarnations the incarnation of each claiming router that was last heard
 */
record ClaimTable(
    HashMap<ClaimKey, Claim> running,
    LinkedHashMap<ClaimKey, Claim> ended,
    long resultBytes,
    HashMap<String, String> incarnations) {
  /** Largest result that is kept, in bytes. */
  static final int MAX_RESULT_BYTES = 64 << 10;

  /** Size of all results kept, in bytes; the oldest are dropped first. */
  static final long MOST_RESULT_BYTES = 32 << 20;

  /** Most claims; further ones are refused, so that none is forgotten early. */
  static final int MOST_CLAIMS = 200_000;

  /** How long an ended claim is remembered, in milliseconds. */
  static final long RETENTION_MILLIS = 24 * 3_600_000L;

  /** How long a claim may be in progress before its outcome counts as unknown, in milliseconds. */
  static final long RUNNING_LIMIT_MILLIS = 900_000;

  static final ClaimTable EMPTY =
      new ClaimTable(HashMap.empty(), LinkedHashMap.empty(), 0, HashMap.empty());

  Step<ClaimTable> begin(ClaimRequest request, StateClock clock) {
    ClaimKey key = ClaimKey.of(request);
    ClaimTable now = heard(request.getClaimant()).forgetBefore(clock.millis() - RETENTION_MILLIS);
    Optional<Claim> current = now.find(key);
    if (current.isEmpty()) {
      return now.fresh(key, request, clock);
    }
    Claim claim = current.get();
    if (!claim.request().getBodyDigest().equals(request.getBodyDigest())) {
      return new Step<>(now, Answers.failure(ResultCode.CLAIM_BODY_DIFFERS));
    }
    if (claim.state() != ClaimState.IN_PROGRESS) {
      return new Step<>(now, answer(claim.state(), claim.result()));
    }
    if (claim.isMadeBy(request)) {
      return new Step<>(now, answer(ClaimState.FRESH, Optional.empty()));
    }
    if (!now.isAbandoned(claim, clock)) {
      return new Step<>(now, answer(ClaimState.IN_PROGRESS, Optional.empty()));
    }
    Claim unknown = claim.withState(ClaimState.OUTCOME_UNKNOWN, Optional.empty(), clock.millis());
    return new Step<>(now.end(key, unknown), answer(ClaimState.OUTCOME_UNKNOWN, Optional.empty()));
  }

  private Step<ClaimTable> fresh(ClaimKey key, ClaimRequest request, StateClock clock) {
    if (running.size() + ended.size() >= MOST_CLAIMS) {
      return new Step<>(
          this, Answers.failure(ResultCode.CLAIM_UNAVAILABLE, "there are too many claims"));
    }
    Claim claim = new Claim(request, ClaimState.IN_PROGRESS, Optional.empty(), clock.millis());
    ClaimTable next = new ClaimTable(running.put(key, claim), ended, resultBytes, incarnations);
    return new Step<>(next, answer(ClaimState.FRESH, Optional.empty()));
  }

  private boolean isAbandoned(Claim claim, StateClock clock) {
    String claimant = claim.request().getClaimant();
    boolean replaced = !incarnations.get(nameOf(claimant)).contains(incarnationOf(claimant));
    return replaced || clock.millis() - claim.sinceMillis() > RUNNING_LIMIT_MILLIS;
  }

  Step<ClaimTable> complete(CompleteClaimCommand command, StateClock clock) {
    ClaimKey key = ClaimKey.of(command.getRequest());
    Optional<Claim> current = find(key).filter(c -> c.isMadeBy(command.getRequest()));
    if (current.isEmpty()) {
      return new Step<>(this, Answers.failure(ResultCode.ENTITY_UNKNOWN, "no such claim"));
    }
    if (current.get().state() == ClaimState.DONE) {
      return new Step<>(this, Answers.done());
    }
    Optional<ClaimResult> kept =
        Optional.ofNullable(command.getResult())
            .filter(r -> r.isSetBody() && r.getBody().length <= MAX_RESULT_BYTES);
    Claim done = current.get().withState(ClaimState.DONE, kept, clock.millis());
    return new Step<>(end(key, done), Answers.done());
  }

  Step<ClaimTable> release(ClaimRequest request) {
    ClaimKey key = ClaimKey.of(request);
    boolean releasable =
        find(key).filter(c -> c.isMadeBy(request) && c.state() != ClaimState.DONE).isPresent();
    if (!releasable) {
      return new Step<>(this, Answers.done());
    }
    ClaimTable next =
        new ClaimTable(running.remove(key), ended.remove(key), resultBytes, incarnations);
    return new Step<>(next, Answers.done());
  }

  private Optional<Claim> find(ClaimKey key) {
    return running.get(key).orElse(() -> ended.get(key)).toJavaOptional();
  }

  private ClaimTable end(ClaimKey key, Claim claim) {
    LinkedHashMap<ClaimKey, Claim> nextEnded = ended.remove(key).put(key, claim);
    long nextBytes = resultBytes + claim.resultBytes();
    return new ClaimTable(running.remove(key), nextEnded, nextBytes, incarnations).dropResults();
  }

  private ClaimTable dropResults() {
    if (resultBytes <= MOST_RESULT_BYTES) {
      return this;
    }
    List<Tuple2<ClaimKey, Claim>> next = new ArrayList<>();
    long bytes = resultBytes;
    for (Tuple2<ClaimKey, Claim> oldest : ended) {
      Claim claim = oldest._2();
      boolean drop = bytes > MOST_RESULT_BYTES / 2;
      bytes -= drop ? claim.resultBytes() : 0;
      next.add(drop ? oldest.update2(claim.withoutResult()) : oldest);
    }
    return new ClaimTable(running, LinkedHashMap.ofEntries(next), bytes, incarnations);
  }

  /** Ends claims that have been in progress for too long. */
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

  private ClaimTable forgetBefore(long millis) {
    LinkedHashMap<ClaimKey, Claim> next = ended;
    long bytes = resultBytes;
    while (!next.isEmpty() && next.head()._2().sinceMillis() < millis) {
      bytes -= next.head()._2().resultBytes();
      next = next.tail();
    }
    return next == ended ? this : new ClaimTable(running, next, bytes, incarnations);
  }

  private ClaimTable heard(String claimant) {
    String name = nameOf(claimant);
    String incarnation = incarnationOf(claimant);
    return incarnations.get(name).contains(incarnation)
        ? this
        : new ClaimTable(running, ended, resultBytes, incarnations.put(name, incarnation));
  }

  ClaimTable restored(Claim claim) {
    ClaimKey key = ClaimKey.of(claim.request());
    return claim.state() == ClaimState.IN_PROGRESS
        ? new ClaimTable(running.put(key, claim), ended, resultBytes, incarnations)
        : new ClaimTable(
            running, ended.put(key, claim), resultBytes + claim.resultBytes(), incarnations);
  }

  ClaimTable restored(StoredIncarnation stored) {
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
