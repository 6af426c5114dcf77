package io.jacinthquay.keeper.state;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.wire.gen.Command;
import io.jacinthquay.wire.gen.CommandAnswer;
import io.jacinthquay.wire.gen.CommandBody;
import io.jacinthquay.wire.gen.LeaseCommand;
import io.jacinthquay.wire.gen.LeaseGrant;
import io.jacinthquay.wire.gen.ReleaseLeaseCommand;
import io.jacinthquay.wire.gen.Stamp;
import java.util.List;
import java.util.function.UnaryOperator;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;

/**
 * Random histories of holders and leaders whose clocks run at different rates: no two holders may
 * believe at the same time that they hold the lease.
 */
final class LeaseProperties {
  private static final double[] HOLDER_RATES = {0.98, 1.0, 1.02};
  private static final double[] LEADER_RATES = {1.02, 0.98, 1.0};
  private static final String LEASE = "usage/0";

  /** Kind of operation. */
  enum Kind {
    ACQUIRE,
    ACQUIRE_WITH_LOST_RESPONSE,
    RENEW,
    RELEASE,
    CHANGE_LEADER,
    RETURN_TO_FIRST_LEADER,
    RESTART,
    WAIT
  }

  /** One operation of a holder, after a delay in milliseconds. */
  record Op(Kind kind, int holder, int delayMillis, int lengthMillis) {}

  @Provide
  Arbitrary<Op> ops() {
    return Combinators.combine(
            Arbitraries.of(Kind.class),
            Arbitraries.integers().between(0, HOLDER_RATES.length - 1),
            Arbitraries.of(0, 1, 20, 100, 400, 1_000, 1_050, 2_000),
            Arbitraries.of(500, 1_000, 2_000))
        .as(Op::new);
  }

  @Property(tries = 3_000, seed = "51")
  void leaseHasAtMostOneHolderAtATime(
      @ForAll @Size(min = 5, max = 60) List<@From("ops") Op> history) {
    new Simulation(command -> command).run(history);
  }

  @Property(tries = 1, seed = "52")
  void checkDetectsClockThatAcceptsOlderTerms(
      @ForAll @Size(2_000) List<@Size(60) List<@From("ops") Op>> histories) {
    UnaryOperator<Command> newestTerm =
        command -> {
          command.getStamp().setTerm(1_000);
          return command;
        };
    InjectedFault.assertDetected(histories, history -> new Simulation(newestTerm).run(history));
  }

  @Property(tries = 1, seed = "53")
  void checkDetectsLeaderClockAheadOfRealTime(
      @ForAll @Size(300) List<@Size(60) List<@From("ops") Op>> histories) {
    UnaryOperator<Command> clockAhead =
        command -> {
          Stamp stamp = command.getStamp();
          stamp.setClockMillis(stamp.getClockMillis() + 600 * stamp.getTerm());
          return command;
        };
    InjectedFault.assertDetected(histories, history -> new Simulation(clockAhead).run(history));
  }

  @Property(tries = 1, seed = "54")
  void checkDetectsLeaseShorterThanGranted(
      @ForAll @Size(300) List<@Size(60) List<@From("ops") Op>> histories) {
    UnaryOperator<Command> shorter =
        command -> {
          if (command.getBody().isSetLease()) {
            LeaseCommand lease = command.getBody().getLease();
            lease.setLengthMillis(lease.getLengthMillis() * 9 / 10);
          }
          return command;
        };
    InjectedFault.assertDetected(histories, history -> new Simulation(shorter).run(history));
  }

  /** A leader with the real time and the state's clock at the start of its term. */
  private record Leader(long term, double rate, double baseReal, long baseMillis) {}

  /** Simulates real time, the leaders' clocks and the time until which each holder believes. */
  private static final class Simulation {
    private final StateHarness machine;
    private final double[] believesUntil = new double[HOLDER_RATES.length];
    private final long[] fencingTokens = new long[HOLDER_RATES.length];
    private double realMillis = 10_000;
    private long term;
    private Leader leader;
    private Leader first;

    Simulation(UnaryOperator<Command> fault) {
      machine = new StateHarness(fault);
      elect();
      first = leader;
    }

    private void elect() {
      term++;
      double rate = LEADER_RATES[(int) (term % LEADER_RATES.length)];
      leader = new Leader(term, rate, realMillis, machine.tables().clock().millis());
    }

    private Stamp stamp() {
      long elapsed = (long) ((realMillis - leader.baseReal()) * leader.rate());
      return new Stamp(leader.term(), leader.baseMillis() + elapsed, (long) realMillis);
    }

    void run(List<Op> history) {
      for (Op op : history) {
        realMillis += op.delayMillis();
        step(op);
      }
    }

    private void step(Op op) {
      switch (op.kind()) {
        case ACQUIRE ->
            ask(op, new LeaseCommand(LEASE, "h" + op.holder(), op.lengthMillis()), true);
        case ACQUIRE_WITH_LOST_RESPONSE ->
            ask(op, new LeaseCommand(LEASE, "h" + op.holder(), op.lengthMillis()), false);
        case RENEW -> {
          LeaseCommand command = new LeaseCommand(LEASE, "h" + op.holder(), op.lengthMillis());
          ask(op, command.setFencing(fencingTokens[op.holder()]), true);
        }
        case RELEASE -> release(op.holder());
        case CHANGE_LEADER -> elect();
        case RETURN_TO_FIRST_LEADER -> leader = first;
        case RESTART -> machine.restart();
        default -> realMillis += op.delayMillis();
      }
    }

    private void ask(Op op, LeaseCommand command, boolean answerReceived) {
      double requestSent = realMillis;
      realMillis += op.delayMillis() / 10.0;
      CommandAnswer answer = machine.run(stamp(), CommandBody.lease(command));
      if (!answer.isSetLease()) {
        return;
      }
      for (int other = 0; other < believesUntil.length; other++) {
        boolean allowed = other == op.holder() || believesUntil[other] <= realMillis;
        assertTrue(allowed, "holder " + other + " still believes that it holds the lease");
      }
      if (answerReceived) {
        LeaseGrant grant = answer.getLease();
        assertTrue(
            grant.getFencing() >= fencingTokens[op.holder()], "fencing tokens must not decrease");
        fencingTokens[op.holder()] = grant.getFencing();
        double ownExpiry = requestSent + op.lengthMillis() / HOLDER_RATES[op.holder()];
        believesUntil[op.holder()] = Math.max(believesUntil[op.holder()], ownExpiry);
      }
    }

    private void release(int holder) {
      believesUntil[holder] = 0;
      ReleaseLeaseCommand command =
          new ReleaseLeaseCommand(LEASE, "h" + holder, fencingTokens[holder]);
      machine.run(stamp(), CommandBody.releaseLease(command));
    }
  }
}
