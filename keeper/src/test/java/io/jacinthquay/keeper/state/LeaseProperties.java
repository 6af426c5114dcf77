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
 * Histories of holders and leaders whose clocks run at unlike rates: no two holders may believe at
 * one time that they hold the lease.
 */
final class LeaseProperties {
  private static final double[] HOLDER_RATES = {0.98, 1.0, 1.02};
  private static final double[] LEADER_RATES = {1.02, 0.98, 1.0};
  private static final String LEASE = "usage/0";

  /** What happens next. */
  enum Kind {
    ACQUIRE,
    ACQUIRE_WITH_LOST_ANSWER,
    RENEW,
    RELEASE,
    CHANGE_LEADER,
    RETURN_TO_FIRST_LEADER,
    RESTART,
    WAIT
  }

  /** One step: a delay in ms, then what happens, by whom. */
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
  void holdersNeverOverlap(@ForAll @Size(min = 5, max = 60) List<@From("ops") Op> history) {
    new World(command -> command).run(history);
  }

  @Property(tries = 1, seed = "52")
  void aClockThatTrustsAnOlderTermIsCaught(
      @ForAll @Size(2_000) List<@Size(60) List<@From("ops") Op>> histories) {
    UnaryOperator<Command> newestTerm =
        command -> {
          command.getStamp().setTerm(1_000);
          return command;
        };
    PlantedFault.isCaught(histories, history -> new World(newestTerm).run(history));
  }

  @Property(tries = 1, seed = "53")
  void aLeaderOnItsOwnClockIsCaught(
      @ForAll @Size(300) List<@Size(60) List<@From("ops") Op>> histories) {
    UnaryOperator<Command> jump =
        command -> {
          Stamp stamp = command.getStamp();
          stamp.setClockMillis(stamp.getClockMillis() + 600 * stamp.getTerm());
          return command;
        };
    PlantedFault.isCaught(histories, history -> new World(jump).run(history));
  }

  @Property(tries = 1, seed = "54")
  void aGrantShorterThanPromisedIsCaught(
      @ForAll @Size(300) List<@Size(60) List<@From("ops") Op>> histories) {
    UnaryOperator<Command> shorter =
        command -> {
          if (command.getBody().isSetLease()) {
            LeaseCommand lease = command.getBody().getLease();
            lease.setLengthMillis(lease.getLengthMillis() * 9 / 10);
          }
          return command;
        };
    PlantedFault.isCaught(histories, history -> new World(shorter).run(history));
  }

  /** A leader's counting base. */
  private record Leader(long term, double rate, double baseReal, long baseMillis) {}

  /** Real time, the leaders' clocks and what each holder believes. */
  private static final class World {
    private final StateHarness machine;
    private final double[] believesUntil = new double[HOLDER_RATES.length];
    private final long[] fencing = new long[HOLDER_RATES.length];
    private double realMillis = 10_000;
    private long term;
    private Leader leader;
    private Leader first;

    World(UnaryOperator<Command> fault) {
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
        case ACQUIRE_WITH_LOST_ANSWER ->
            ask(op, new LeaseCommand(LEASE, "h" + op.holder(), op.lengthMillis()), false);
        case RENEW -> {
          LeaseCommand command = new LeaseCommand(LEASE, "h" + op.holder(), op.lengthMillis());
          ask(op, command.setFencing(fencing[op.holder()]), true);
        }
        case RELEASE -> release(op.holder());
        case CHANGE_LEADER -> elect();
        case RETURN_TO_FIRST_LEADER -> leader = first;
        case RESTART -> machine.restart();
        default -> realMillis += op.delayMillis();
      }
    }

    private void ask(Op op, LeaseCommand command, boolean heard) {
      double asked = realMillis;
      realMillis += op.delayMillis() / 10.0;
      CommandAnswer answer = machine.run(stamp(), CommandBody.lease(command));
      if (!answer.isSetLease()) {
        return;
      }
      for (int other = 0; other < believesUntil.length; other++) {
        boolean over = other == op.holder() || believesUntil[other] <= realMillis;
        assertTrue(over, "holder " + other + " still believes that it holds the lease");
      }
      if (heard) {
        LeaseGrant grant = answer.getLease();
        assertTrue(grant.getFencing() >= fencing[op.holder()], "fencing numbers never go back");
        fencing[op.holder()] = grant.getFencing();
        double ownEnd = asked + op.lengthMillis() / HOLDER_RATES[op.holder()];
        believesUntil[op.holder()] = Math.max(believesUntil[op.holder()], ownEnd);
      }
    }

    private void release(int holder) {
      believesUntil[holder] = 0;
      ReleaseLeaseCommand command = new ReleaseLeaseCommand(LEASE, "h" + holder, fencing[holder]);
      machine.run(stamp(), CommandBody.releaseLease(command));
    }
  }
}
