package io.jacinthquay.keeper.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.wire.gen.ClaimAnswer;
import io.jacinthquay.wire.gen.ClaimRequest;
import io.jacinthquay.wire.gen.ClaimResult;
import io.jacinthquay.wire.gen.ClaimState;
import io.jacinthquay.wire.gen.Command;
import io.jacinthquay.wire.gen.CommandAnswer;
import io.jacinthquay.wire.gen.CommandBody;
import io.jacinthquay.wire.gen.CompleteClaimCommand;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;

/**
 * Random histories of attempts through several routers that restart and resend: a claimed request
 * must run at most once.
 */
final class ClaimProperties {
  /** Kind of operation. */
  enum Kind {
    BEGIN,
    REPEAT_BEGIN,
    COMPLETE,
    RELEASE,
    RESTART_ROUTER,
    RESTART_KEEPER,
    WAIT_LONG
  }

  /** One operation. */
  record Op(Kind kind, int router, int key, int body) {}

  @Provide
  Arbitrary<Op> ops() {
    return Combinators.combine(
            Arbitraries.of(Kind.class),
            Arbitraries.integers().between(0, 2),
            Arbitraries.integers().between(0, 3),
            Arbitraries.of(0, 0, 0, 1))
        .as(Op::new);
  }

  @Property(tries = 1_500, seed = "61")
  void claimedRequestsRunAtMostOnce(
      @ForAll @Size(min = 5, max = 80) List<@From("ops") Op> history) {
    new Simulation(command -> command).run(history);
  }

  @Property(tries = 1, seed = "62")
  void checkDetectsAttemptsThatShareAnIdentity(
      @ForAll @Size(200) List<@Size(80) List<@From("ops") Op>> histories) {
    UnaryOperator<Command> sameAttempt =
        command -> {
          if (command.getBody().isSetBeginClaim()) {
            command.getBody().getBeginClaim().setRequestId("r").setClaimant("c/1");
          }
          return command;
        };
    InjectedFault.assertDetected(histories, history -> new Simulation(sameAttempt).run(history));
  }

  @Property(tries = 1, seed = "63")
  void checkDetectsCompletionTurnedIntoRelease(
      @ForAll @Size(200) List<@Size(80) List<@From("ops") Op>> histories) {
    UnaryOperator<Command> released =
        command -> {
          CommandBody body = command.getBody();
          if (body.isSetCompleteClaim()) {
            body.setReleaseClaim(body.getCompleteClaim().getRequest());
          }
          return command;
        };
    InjectedFault.assertDetected(histories, history -> new Simulation(released).run(history));
  }

  @Example
  void resultOverTheSizeLimitIsNotStored() {
    StateHarness machine = StateHarness.withoutFault();
    ClaimRequest request = new ClaimRequest("a", "r", "k", "d", "1", "v/1");
    byte[] body = new byte[ClaimTable.MAX_RESULT_BYTES + 1];
    ClaimResult result = new ClaimResult(200, "text/plain", ByteBuffer.wrap(body));

    machine.run(0, CommandBody.beginClaim(request));
    machine.run(1, CommandBody.completeClaim(new CompleteClaimCommand(request, result)));
    ClaimAnswer second =
        machine.run(2, CommandBody.beginClaim(request.deepCopy().setRequestId("2"))).getClaim();

    assertEquals(ClaimState.DONE, second.getState());
    assertEquals(null, second.getResult());
  }

  /** One attempt of one router. */
  private record Attempt(ClaimRequest request, boolean fresh, boolean ended) {}

  /** Simulates routers with their attempts and records which requests ran. */
  private static final class Simulation {
    private final StateHarness machine;
    private final int[] incarnations = new int[3];
    private final Map<String, Attempt> ranBy = new HashMap<>();
    private final Map<String, ClaimResult> results = new HashMap<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private long now;

    Simulation(UnaryOperator<Command> fault) {
      machine = new StateHarness(fault);
    }

    void run(List<Op> history) {
      for (Op op : history) {
        now += 10;
        step(op);
      }
    }

    private void step(Op op) {
      switch (op.kind()) {
        case BEGIN -> begin(newRequest(op));
        case REPEAT_BEGIN -> latest(op).ifPresent(attempt -> begin(attempt.request()));
        case COMPLETE -> latest(op).filter(Attempt::fresh).ifPresent(this::complete);
        case RELEASE -> latest(op).ifPresent(this::release);
        case RESTART_ROUTER -> incarnations[op.router()]++;
        case RESTART_KEEPER -> machine.restart();
        default -> now += ClaimTable.RUNNING_LIMIT_MILLIS;
      }
    }

    private ClaimRequest newRequest(Op op) {
      String claimant = "v" + op.router() + "/" + incarnations[op.router()];
      String id = "r" + attempts.size();
      return new ClaimRequest("atlas", "book", "k" + op.key(), "b" + op.body(), id, claimant);
    }

    /** Returns the latest open attempt of the router's current incarnation with the key. */
    private Optional<Attempt> latest(Op op) {
      String claimant = "v" + op.router() + "/" + incarnations[op.router()];
      return attempts.stream()
          .filter(a -> a.request().getClaimant().equals(claimant))
          .filter(a -> a.request().getKey().equals("k" + op.key()) && !a.ended())
          .reduce((a, b) -> b);
    }

    private void begin(ClaimRequest request) {
      CommandAnswer answer = machine.run(now, CommandBody.beginClaim(request));
      String key = request.getKey();
      Attempt runner = ranBy.get(key);
      boolean fresh = answer.isSetClaim() && answer.getClaim().getState() == ClaimState.FRESH;
      if (fresh) {
        boolean same = runner != null && runner.request().equals(request);
        assertTrue(runner == null || same, "two attempts run " + key);
        ranBy.put(key, new Attempt(request, true, false));
      } else if (answer.isSetClaim() && answer.getClaim().getState() == ClaimState.DONE) {
        assertEquals(
            results.get(key), answer.getClaim().getResult(), "the stored result must be replayed");
      }
      if (runner != null && !runner.request().getBodyDigest().equals(request.getBodyDigest())) {
        assertTrue(answer.isSetFailure(), "a key must not be reused with another body");
      }
      attempts.removeIf(a -> a.request().equals(request));
      attempts.add(new Attempt(request, fresh, false));
    }

    private void complete(Attempt attempt) {
      byte[] body = attempt.request().getRequestId().getBytes(StandardCharsets.UTF_8);
      ClaimResult result = new ClaimResult(200, "text/plain", ByteBuffer.wrap(body));
      CommandAnswer answer =
          machine.run(
              now, CommandBody.completeClaim(new CompleteClaimCommand(attempt.request(), result)));
      assertTrue(answer.isSetDone(), () -> "completion rejected: " + answer);
      results.put(attempt.request().getKey(), result);
      end(attempt);
    }

    private void release(Attempt attempt) {
      machine.run(now, CommandBody.releaseClaim(attempt.request()));
      Attempt runner = ranBy.get(attempt.request().getKey());
      if (runner != null && runner.request().equals(attempt.request())) {
        assertNotEquals(true, results.containsKey(attempt.request().getKey()));
        ranBy.remove(attempt.request().getKey());
      }
      end(attempt);
    }

    private void end(Attempt attempt) {
      attempts.remove(attempt);
      attempts.add(new Attempt(attempt.request(), false, true));
    }
  }
}
