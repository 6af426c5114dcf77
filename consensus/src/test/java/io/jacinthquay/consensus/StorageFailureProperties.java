package io.jacinthquay.consensus;

import io.jacinthquay.consensus.FaultyDisk.Operation;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

/** Draws storage failures of one replica after the other in a group that runs on. */
class StorageFailureProperties {
  private static final int MEMBERS = 3;
  private static final int PROGRESS_SECONDS = 10;

  /**
   * A disk that fails for a while.
   *
   * @param member the number of the replica, from 0
   * @param operations what fails
   * @param unreachable whether the replica loses contact for a moment, so that a vote is due
   * @param commands how many commands are acknowledged before the disk works again
   */
  record Failure(int member, Set<Operation> operations, boolean unreachable, int commands) {}

  private static final class Group implements AutoCloseable {
    private final Path root = Files.createTempDirectory("storage-failures");
    private final LogCluster cluster = new LogCluster(root, MEMBERS).withSnapshots(4, 1);
    private final List<MemberId> members = new ArrayList<>();
    private final List<FaultyDisk> disks = new ArrayList<>();
    private final List<String> acknowledged = new ArrayList<>();
    private int proposed;

    Group() throws IOException {
      for (int i = 1; i <= MEMBERS; i++) {
        members.add(new MemberId("k" + i));
        disks.add(new FaultyDisk());
        cluster.start(members.get(i - 1), disks.get(i - 1));
      }
    }

    void run(Failure failure) throws Exception {
      MemberId member = members.get(failure.member());
      disks.get(failure.member()).fail(failure.operations());
      if (failure.unreachable()) {
        cluster.network().isolate(member);
        TimeUnit.MILLISECONDS.sleep(200);
        cluster.network().heal();
      }
      for (int i = 0; i < failure.commands(); i++) {
        propose();
      }
      disks.get(failure.member()).repair();
    }

    /** Proposes new commands until one is acknowledged. */
    void propose() throws Exception {
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PROGRESS_SECONDS);
      while (System.nanoTime() < end) {
        String command = "c" + proposed++;
        byte[] bytes = command.getBytes(StandardCharsets.UTF_8);
        if (LogCluster.get(cluster.log(cluster.leader()).propose(bytes)).isRight()) {
          acknowledged.add(command);
          return;
        }
      }
      throw new AssertionError("no command was acknowledged in " + PROGRESS_SECONDS + " s");
    }

    void check() throws Exception {
      for (MemberId member : members) {
        List<String> applied = new ArrayList<>(cluster.read(member));
        if (new HashSet<>(applied).size() != applied.size()) {
          throw new AssertionError(member + " applied a command twice: " + applied);
        }
        applied.retainAll(new HashSet<>(acknowledged));
        if (!applied.equals(acknowledged)) {
          throw new AssertionError(member + " has " + applied + ", acknowledged " + acknowledged);
        }
      }
    }

    @Override
    public void close() throws IOException {
      cluster.close();
      try (Stream<Path> files = Files.walk(root)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    }
  }

  @Provide
  Arbitrary<List<Failure>> failures() {
    Arbitrary<Set<Operation>> operations =
        Arbitraries.of(EnumSet.allOf(Operation.class)).set().ofMinSize(1).ofMaxSize(4);
    return Combinators.combine(
            Arbitraries.integers().between(0, MEMBERS - 1),
            operations,
            Arbitraries.of(true, false),
            Arbitraries.integers().between(1, 8))
        .as(Failure::new)
        .list()
        .ofMinSize(2)
        .ofMaxSize(6);
  }

  @Property(tries = 4, seed = "20261205", shrinking = ShrinkingMode.OFF)
  void keepsAcknowledgedCommandsAndGoesOnAfterEachFailure(
      @ForAll("failures") List<Failure> failures) throws Exception {
    try (Group group = new Group()) {
      group.propose();
      for (Failure failure : failures) {
        group.run(failure);
      }
      group.propose();
      group.check();
    }
  }
}
