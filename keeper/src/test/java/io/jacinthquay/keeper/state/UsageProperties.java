package io.jacinthquay.keeper.state;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UsageWindow;
import io.jacinthquay.wire.gen.Command;
import io.jacinthquay.wire.gen.CommandAnswer;
import io.jacinthquay.wire.gen.CommandBody;
import io.jacinthquay.wire.gen.LeaseCommand;
import io.jacinthquay.wire.gen.LeaseProof;
import io.jacinthquay.wire.gen.MarkReportedCommand;
import io.jacinthquay.wire.gen.SealCommand;
import io.jacinthquay.wire.gen.SealedWindow;
import io.jacinthquay.wire.gen.ShipUsageCommand;
import io.jacinthquay.wire.gen.UsageCounter;
import io.jacinthquay.wire.gen.UsageLine;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * Random histories of repeated, late and reordered counters: every count must be in exactly one
 * sealed window or pending, and a sealed window must not change.
 */
final class UsageProperties {
  private static final String CUSTOMER = "atlas";
  private static final int SHARD = UsageWindow.shardOf(CUSTOMER);

  /** Kind of operation. */
  enum Kind {
    COUNT_AND_SHIP,
    COUNT_ONLY,
    SHIP_OLD,
    SEAL,
    SEAL_AGAIN,
    REPORT,
    RESTART
  }

  /** One operation; {@code age} is a number of windows back from the newest. */
  record Op(Kind kind, int router, int age, int tokens) {}

  @Provide
  Arbitrary<Op> ops() {
    return Combinators.combine(
            Arbitraries.of(Kind.class),
            Arbitraries.integers().between(0, 2),
            Arbitraries.integers().between(0, 3),
            Arbitraries.integers().between(1, 50))
        .as(Op::new);
  }

  @Property(tries = 1_000, seed = "71")
  void everyCountIsSealedOnceOrPending(
      @ForAll @Size(min = 5, max = 80) List<@From("ops") Op> history) {
    new Simulation(command -> command).run(history);
  }

  @Property(tries = 1, seed = "72")
  void checkDetectsRoutersThatShareAnIncarnation(
      @ForAll @Size(200) List<@Size(60) List<@From("ops") Op>> histories) {
    UnaryOperator<Command> oneRouter =
        command -> {
          if (command.getBody().isSetShipUsage()) {
            command.getBody().getShipUsage().getCounters().forEach(c -> c.setIncarnation("x"));
          }
          return command;
        };
    InjectedFault.assertDetected(histories, history -> new Simulation(oneRouter).run(history));
  }

  @Property(tries = 1, seed = "73")
  void checkDetectsShipmentsThatAreSummed(
      @ForAll @Size(200) List<@Size(60) List<@From("ops") Op>> histories) {
    int[] shipments = {0};
    UnaryOperator<Command> newIncarnations =
        command -> {
          if (command.getBody().isSetShipUsage()) {
            String incarnation = "s" + shipments[0]++;
            command
                .getBody()
                .getShipUsage()
                .getCounters()
                .forEach(c -> c.setIncarnation(incarnation));
          }
          return command;
        };
    InjectedFault.assertDetected(
        histories, history -> new Simulation(newIncarnations).run(history));
  }

  @Example
  void onlyTheLeaseHolderSealsAWindowAfterTheWatermark() {
    StateHarness machine = StateHarness.withoutFault();
    LeaseCommand lease = new LeaseCommand("usage/0", "ctl/1", 60_000);
    long closed = UsageWindow.LENGTH_MILLIS + UsageTable.WATERMARK_MILLIS;
    machine.run(closed - 1, CommandBody.lease(lease));

    CommandAnswer early = machine.run(closed - 1, seal(0, 1));
    CommandAnswer stale = machine.run(closed, seal(0, 2));
    CommandAnswer sealed = machine.run(closed, seal(0, 1));

    assertEquals(ResultCode.BAD_REQUEST.number(), early.getFailure().getCode());
    assertEquals(ResultCode.LEASE_LOST.number(), stale.getFailure().getCode());
    assertTrue(sealed.isSetWindow());
  }

  private static CommandBody seal(long start, long fencing) {
    return CommandBody.seal(new SealCommand(SHARD, start, new LeaseProof("usage/0", fencing)));
  }

  /** Simulates routers' counters and checks the totals of the state. */
  private static final class Simulation {
    private final StateHarness machine;
    private final Map<String, UsageCounter> counters = new HashMap<>();
    private final Map<String, UsageCounter> shipped = new HashMap<>();
    private final Map<Long, byte[]> sealed = new HashMap<>();
    private long window = 5 * UsageWindow.LENGTH_MILLIS;
    private long lastSealed = -UsageWindow.LENGTH_MILLIS;

    Simulation(UnaryOperator<Command> fault) {
      machine = new StateHarness(fault);
    }

    void run(List<Op> history) {
      for (Op op : history) {
        step(op);
        checkTotals();
      }
    }

    private void step(Op op) {
      String router = "v" + op.router() + "/1";
      long occurred = window - op.age() * UsageWindow.LENGTH_MILLIS;
      UsageCounter counter =
          counters.computeIfAbsent(
              router + occurred, k -> new UsageCounter(router, CUSTOMER, "m", occurred, 0, 0, 0));
      switch (op.kind()) {
        case COUNT_AND_SHIP -> {
          count(counter, op.tokens());
          ship(counter);
        }
        case COUNT_ONLY -> count(counter, op.tokens());
        case SHIP_OLD -> shipOld(router + occurred);
        case SEAL -> sealNext(op.age());
        case SEAL_AGAIN -> sealed.keySet().forEach(this::checkSeal);
        case REPORT -> sealed.keySet().forEach(this::report);
        default -> machine.restart();
      }
    }

    private void count(UsageCounter counter, int tokens) {
      counter.setRequests(counter.getRequests() + 1);
      counter.setOutputTokens(counter.getOutputTokens() + tokens);
    }

    private void ship(UsageCounter counter) {
      UsageCounter copy = counter.deepCopy();
      CommandAnswer answer =
          machine.run(now(), CommandBody.shipUsage(new ShipUsageCommand(List.of(copy))));
      assertTrue(answer.isSetDone(), () -> "shipment rejected: " + answer);
      shipped.put(copy.getIncarnation() + copy.getWindowStartMillis(), copy);
    }

    /** Ships an earlier value again, as a router does after a lost response. */
    private void shipOld(String key) {
      UsageCounter last = shipped.get(key);
      if (last != null) {
        UsageCounter older = last.deepCopy();
        older.setOutputTokens(last.getOutputTokens() / 2);
        machine.run(now(), CommandBody.shipUsage(new ShipUsageCommand(List.of(older))));
        machine.run(now(), CommandBody.shipUsage(new ShipUsageCommand(List.of(last.deepCopy()))));
      }
    }

    private long now() {
      return window + UsageTable.WATERMARK_MILLIS;
    }

    private long fencing() {
      LeaseCommand command = new LeaseCommand("usage/0", "ctl/1", 60_000);
      return machine.run(now(), CommandBody.lease(command)).getLease().getFencing();
    }

    private void sealNext(int skip) {
      window += UsageWindow.LENGTH_MILLIS;
      long start = window - UsageWindow.LENGTH_MILLIS * (1 + skip);
      if (start > lastSealed) {
        CommandAnswer answer = machine.run(now(), seal(start, fencing()));
        assertTrue(answer.isSetWindow(), () -> "not sealed: " + answer);
        sealed.put(start, bytes(answer.getWindow()));
        lastSealed = start;
      }
    }

    private void checkSeal(long start) {
      CommandAnswer again = machine.run(now(), seal(start, fencing()));
      assertArrayEquals(sealed.get(start), bytes(again.getWindow()), "a sealed window changed");
    }

    private void report(long start) {
      LeaseProof proof = new LeaseProof("usage/0", fencing());
      MarkReportedCommand command = new MarkReportedCommand(SHARD, start, proof);
      assertTrue(machine.run(now(), CommandBody.markReported(command)).isSetDone());
    }

    private static byte[] bytes(SealedWindow window) {
      return ThriftCodec.encode(window.deepCopy().setReported(false));
    }

    private void checkTotals() {
      Map<Long, Long> expected = new HashMap<>();
      shipped
          .values()
          .forEach(c -> expected.merge(c.getWindowStartMillis(), c.getOutputTokens(), Long::sum));
      Map<Long, Long> found = new HashMap<>();
      UsageTable usage = machine.tables().usage();
      for (UsageCounter counter : usage.pending()) {
        found.merge(counter.getWindowStartMillis(), counter.getOutputTokens(), Long::sum);
      }
      for (SealedWindow sealedWindow : usage.windows(SHARD, false, 1_000)) {
        for (UsageLine line : sealedWindow.getLines()) {
          assertTrue(line.getOccurredMillis() <= sealedWindow.getWindowStartMillis());
          found.merge(line.getOccurredMillis(), line.getOutputTokens(), Long::sum);
        }
      }
      assertEquals(expected, found, "tokens by the window in which they occurred");
    }
  }
}
