package io.jacinthquay.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.consensus.storage.FileLogStorage;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class ReplicatedLogTest {
  private static final MemberId K1 = new MemberId("k1");
  private static final MemberId K2 = new MemberId("k2");

  @TempDir Path root;

  private static List<String> numberedCommands(String prefix, int count) {
    List<String> commands = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      commands.add(prefix + i);
    }
    return commands;
  }

  private static void proposeAll(LogCluster cluster, List<String> commands) throws Exception {
    for (String command : commands) {
      cluster.propose(command);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 5})
  void returnsResultAndReplicatesCommand(int members) throws Exception {
    try (LogCluster cluster = new LogCluster(root, members).startAll()) {
      assertEquals("1", new String(cluster.propose("a").result(), "UTF-8"));
      assertEquals("2", new String(cluster.propose("b").result(), "UTF-8"));
      for (int i = 1; i <= members; i++) {
        assertEquals(List.of("a", "b"), cluster.read(new MemberId("k" + i)));
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3})
  void keepsAcknowledgedCommandsAfterRestart(int members) throws Exception {
    List<String> commands = numberedCommands("c", 300);
    try (LogCluster cluster = new LogCluster(root, members).withSnapshots(100, 10).startAll()) {
      proposeAll(cluster, commands);
    }
    try (LogCluster cluster = new LogCluster(root, members).withSnapshots(100, 10).startAll()) {
      assertEquals(commands, cluster.read(K1));
      assertEquals(1, cluster.machine(K1).restores());
    }
  }

  @Test
  void rejectsProposalsOnFollowersAndNamesTheLeader() throws Exception {
    try (LogCluster cluster = new LogCluster(root, 3).startAll()) {
      cluster.propose("a");
      MemberId follower = cluster.follower();
      cluster.read(follower);
      Either<LogFailure, AppliedCommand> result =
          LogCluster.get(cluster.log(follower).propose(new byte[1]));
      assertTrue(result.getLeft().error().notRun());
      assertEquals(cluster.leader(), result.getLeft().leader().orElseThrow());
    }
  }

  @Test
  void keepsCommandsWhenTheLeaderIsIsolated() throws Exception {
    try (LogCluster cluster = new LogCluster(root, 3).startAll()) {
      cluster.propose("a");
      MemberId oldLeader = cluster.leader();
      cluster.network().isolate(oldLeader);
      cluster.await("step down", () -> !cluster.log(oldLeader).status().isLeader());
      cluster.propose("b");
      cluster.network().heal();
      assertEquals(List.of("a", "b"), cluster.read(oldLeader));
    }
  }

  @Test
  void transfersLeadershipWhenStopped() throws Exception {
    try (LogCluster cluster = new LogCluster(root, 3).startAll()) {
      cluster.propose("a");
      MemberId oldLeader = cluster.leader();
      long term = cluster.log(oldLeader).status().term();
      cluster.stop(oldLeader);
      assertEquals(term + 1, cluster.log(cluster.leader()).status().term());
    }
  }

  @Test
  void replacesMemberWithEmptyFolderAndToleratesAnotherLoss() throws Exception {
    try (LogCluster cluster = new LogCluster(root, 3).withSnapshots(50, 5).startAll()) {
      proposeAll(cluster, numberedCommands("c", 120));
      MemberId replaced = cluster.follower();
      final ReplicaId before = cluster.log(replaced).status().self();
      cluster.stop(replaced);
      cluster.deleteFolder(replaced);
      cluster.propose("while away");
      cluster.start(replaced);
      ReplicaId after = cluster.log(replaced).status().self();
      assertNotEquals(before, after);
      cluster.await(
          "replacement",
          () -> cluster.log(replaced).status().membership().voters().contains(after));
      assertEquals(121, cluster.read(replaced).size());
      assertEquals(1, cluster.machine(replaced).restores());
      cluster.stop(cluster.leader());
      cluster.propose("after the second loss");
      assertEquals(122, cluster.read(replaced).size());
      assertFalse(cluster.log(replaced).status().membership().contains(before));
    }
  }

  @ParameterizedTest
  @EnumSource(FailingStorage.Fault.class)
  void stepsDownOnStorageFailureAndKeepsCommands(FailingStorage.Fault fault) throws Exception {
    try (LogCluster cluster = new LogCluster(root, 3)) {
      FailingStorage[] disk = new FailingStorage[1];
      cluster.start(
          K1,
          (folder, member, bytes) -> {
            if (disk[0] != null) {
              throw new LogException(LogFailure.of(LogError.STORAGE_FAILED, "still failing"), null);
            }
            disk[0] = new FailingStorage(FileLogStorage.open(folder, member, bytes));
            return disk[0];
          });
      cluster.start(K2);
      cluster.start(new MemberId("k3"));
      List<String> commands = numberedCommands("c", 20);
      proposeAll(cluster, commands);
      disk[0].fail(fault);
      cluster.log(cluster.leader()).propose("maybe".getBytes("UTF-8"));
      cluster.await("step down", () -> cluster.log(K1).status().role() == Role.FAILED);
      cluster.propose("after");
      List<String> applied = new ArrayList<>(cluster.read(K2));
      applied.remove("maybe");
      commands.add("after");
      assertEquals(commands, applied);
      cluster.stop(K1);
      cluster.start(K1);
      assertTrue(cluster.read(K1).containsAll(commands));
    }
  }

  @Test
  void commitsConcurrentProposalsWithFewSyncs() throws Exception {
    FailingStorage[] disk = new FailingStorage[1];
    try (LogCluster cluster = new LogCluster(root, 1)) {
      cluster.start(
          K1,
          (folder, member, bytes) ->
              disk[0] = new FailingStorage(FileLogStorage.open(folder, member, bytes)));
      cluster.propose("first");
      int before = disk[0].syncs();
      disk[0].blockNextSync();
      List<CompletionStage<Either<LogFailure, AppliedCommand>>> results = new ArrayList<>();
      for (int i = 0; i < 200; i++) {
        results.add(cluster.log(K1).propose(new byte[] {'x'}));
      }
      cluster.await("all appended", () -> cluster.log(K1).status().lastIndex() >= 202);
      disk[0].unblockSync();
      for (CompletionStage<Either<LogFailure, AppliedCommand>> result : results) {
        assertTrue(LogCluster.get(result).isRight());
      }
      assertTrue(disk[0].syncs() - before <= 10, "syncs: " + (disk[0].syncs() - before));
    }
  }

  @Test
  void acknowledgesOnlyCommandsSyncedByAQuorum() throws Exception {
    try (LogCluster cluster = new LogCluster(root, 3)) {
      Map<MemberId, FailingStorage> disks = new HashMap<>();
      for (MemberId member : List.of(K1, K2, new MemberId("k3"))) {
        cluster.start(
            member,
            (folder, self, bytes) ->
                disks.computeIfAbsent(
                    self, m -> new FailingStorage(FileLogStorage.open(folder, self, bytes))));
      }
      cluster.propose("before");
      MemberId leader = cluster.leader();
      disks.remove(leader);
      disks.values().forEach(FailingStorage::blockNextSync);
      CompletionStage<Either<LogFailure, AppliedCommand>> result =
          cluster.log(leader).propose(new byte[] {'x'});
      try {
        for (int round = 0; round < 300; round++) {
          assertTrue(LogCluster.get(cluster.log(leader).readIndex()).isRight());
        }
        assertFalse(result.toCompletableFuture().isDone());
      } finally {
        disks.values().forEach(FailingStorage::unblockSync);
      }
      assertTrue(LogCluster.get(result).isRight());
    }
  }

  @Test
  void takesSnapshotWhenEntriesExceedSizeThreshold() throws Exception {
    try (LogCluster cluster = new LogCluster(root, 1).startAll()) {
      cluster.leader();
      byte[] large = new byte[LogOptions.DEFAULT.maxCommandBytes()];
      for (int i = 0; i < 40; i++) {
        assertTrue(LogCluster.get(cluster.log(K1).propose(large)).isRight());
      }
      cluster.await("compaction", () -> cluster.log(K1).status().firstIndex() > 1);
      long entriesInLog =
          cluster.log(K1).status().lastIndex() - cluster.log(K1).status().firstIndex();
      assertTrue(entriesInLog < 30, "entries in the log: " + entriesInLog);
    }
  }

  /** A process that is started again may meet the lock of its predecessor that is just ending. */
  @Test
  void secondProcessOnTheSameFolderTakesPartOnlyAfterTheFirstHasEnded() throws Exception {
    try (LogCluster cluster = new LogCluster(root, 1).startAll()) {
      cluster.propose("a");
      ReplicatedLog first = cluster.log(K1);
      cluster.start(K1);
      ReplicatedLog second = cluster.log(K1);
      assertEquals(Role.FAILED, second.status().role());
      TimeUnit.MILLISECONDS.sleep(500);
      assertEquals(Role.FAILED, second.status().role());
      assertEquals(
          LogError.STORAGE_FAILED, LogCluster.get(second.propose(new byte[1])).getLeft().error());
      assertTrue(LogCluster.get(first.propose(new byte[1])).isRight());
      first.stop();
      cluster.await("start", () -> second.status().isLeader());
      assertEquals(2, cluster.read(K1).size());
    }
  }

  @Test
  void rejectsOversizedCommandsAndCommandsAfterStop() throws Exception {
    LogCluster cluster = new LogCluster(root, 1).startAll();
    cluster.propose("a");
    ReplicatedLog log = cluster.log(K1);
    byte[] large = new byte[LogOptions.DEFAULT.maxCommandBytes() + 1];
    assertEquals(LogError.TOO_LARGE, LogCluster.get(log.propose(large)).getLeft().error());
    cluster.close();
    assertEquals(LogError.STOPPED, LogCluster.get(log.propose(new byte[1])).getLeft().error());
  }

  @Test
  void reportsThePathIfTheFolderIsAFile() throws IOException {
    Path file = java.nio.file.Files.writeString(root.resolve("k1"), "no folder");
    LogCluster cluster = new LogCluster(root, 1);
    LogException exception = assertThrows(LogException.class, () -> cluster.start(K1));
    assertTrue(exception.getMessage().contains(file.toString()), exception.getMessage());
  }
}
