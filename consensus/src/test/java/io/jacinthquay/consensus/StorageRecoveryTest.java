package io.jacinthquay.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.consensus.storage.FileLogStorage;
import io.jacinthquay.consensus.storage.LogStorage;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Replicas whose storage fails for a while and works again, without a restart. */
class StorageRecoveryTest {
  private static final EnumSet<FaultyDisk.Operation> ALL =
      EnumSet.allOf(FaultyDisk.Operation.class);

  @TempDir Path root;

  private final Map<MemberId, FaultyDisk> disks = new TreeMap<>();

  private LogCluster start(int members) {
    LogCluster cluster = new LogCluster(root, members).withSnapshots(20, 5);
    for (int i = 1; i <= members; i++) {
      MemberId member = new MemberId("k" + i);
      disks.put(member, new FaultyDisk());
      cluster.start(member, disks.get(member));
    }
    return cluster;
  }

  /** Proposes until a command is acknowledged; others may or may not be committed. */
  private static String propose(LogCluster cluster, String prefix) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    for (int attempt = 0; System.nanoTime() < end; attempt++) {
      String command = prefix + "/" + attempt;
      byte[] bytes = command.getBytes(StandardCharsets.UTF_8);
      if (LogCluster.get(cluster.log(cluster.leader()).propose(bytes)).isRight()) {
        return command;
      }
    }
    throw new AssertionError(prefix + " was never acknowledged");
  }

  private static void awaitFailure(LogCluster cluster, MemberId member) throws Exception {
    cluster.await("failure", () -> cluster.log(member).status().role() == Role.FAILED);
  }

  private void failAndRepair(LogCluster cluster, MemberId member, FaultyDisk.Operation operation)
      throws Exception {
    disks.get(member).fail(EnumSet.of(operation));
    List<CompletionStage<Either<LogFailure, AppliedCommand>>> results = new ArrayList<>();
    int before = disks.get(member).failures();
    while (disks.get(member).failures() == before) {
      results.add(cluster.log(cluster.leader()).propose(new byte[] {'?'}));
      cluster.network().isolate(member);
      TimeUnit.MILLISECONDS.sleep(10);
      cluster.network().heal();
      TimeUnit.MILLISECONDS.sleep(10);
    }
    disks.get(member).repair();
    for (CompletionStage<Either<LogFailure, AppliedCommand>> result : results) {
      LogCluster.get(result);
    }
  }

  @ParameterizedTest
  @EnumSource(names = {"HARD_STATE_BEFORE_WRITE", "APPEND_BEFORE_WRITE", "APPEND_HALF"})
  void groupWorksAgainAfterTheDisksOfTwoReplicasWereFullOneAfterTheOther(
      FaultyDisk.Operation operation) throws Exception {
    try (LogCluster cluster = start(3)) {
      List<String> acknowledged = new ArrayList<>();
      acknowledged.add(propose(cluster, "before"));
      for (int i = 1; i <= 2; i++) {
        MemberId member = new MemberId("k" + i);
        EnumSet<FaultyDisk.Operation> full = EnumSet.of(operation);
        full.add(FaultyDisk.Operation.APPEND_BEFORE_WRITE);
        disks.get(member).fail(full);
        cluster.log(cluster.leader()).propose(new byte[] {'?'});
        awaitFailure(cluster, member);
        acknowledged.add(propose(cluster, "while " + member + " is full"));
        disks.get(member).repair();
      }
      acknowledged.add(propose(cluster, "after"));
      for (int i = 1; i <= 3; i++) {
        List<String> applied = cluster.read(new MemberId("k" + i));
        assertTrue(applied.containsAll(acknowledged), applied + " of k" + i);
      }
    }
  }

  @ParameterizedTest
  @EnumSource(names = {"SYNC_BEFORE", "SYNC_AFTER", "APPEND_HALF", "SAVE_SNAPSHOT", "COMPACT"})
  void onlyReplicaWorksAgainAfterItsDiskFailed(FaultyDisk.Operation operation) throws Exception {
    try (LogCluster cluster = start(1)) {
      MemberId only = new MemberId("k1");
      List<String> acknowledged = new ArrayList<>();
      acknowledged.add(propose(cluster, "before"));
      failAndRepair(cluster, only, operation);
      acknowledged.add(propose(cluster, "after"));
      List<String> applied = new ArrayList<>(cluster.read(only));
      assertTrue(applied.containsAll(acknowledged), applied.toString());
      int position = applied.indexOf(acknowledged.get(1));
      assertEquals(position, applied.lastIndexOf(acknowledged.get(1)));
    }
  }

  @Test
  void failedReplicaRejectsCommandsAndReadsAndKeepsItsAppliedState() throws Exception {
    try (LogCluster cluster = start(1)) {
      MemberId only = new MemberId("k1");
      ReplicaId self = cluster.log(only).status().self();
      for (int i = 0; i < 5; i++) {
        propose(cluster, "c" + i);
      }
      List<String> applied = cluster.machine(only).commands();
      disks.get(only).fail(ALL);
      CompletionStage<Either<LogFailure, AppliedCommand>> pending =
          cluster.log(only).propose(new byte[] {'?'});
      awaitFailure(cluster, only);
      assertTrue(LogCluster.get(pending).isLeft());
      LogFailure rejected = LogCluster.get(cluster.log(only).propose(new byte[1])).getLeft();
      assertEquals(LogError.STORAGE_FAILED, rejected.error());
      LogFailure unread = LogCluster.get(cluster.log(only).readIndex()).getLeft();
      assertEquals(LogError.STORAGE_FAILED, unread.error());
      int attempts = disks.get(only).failures();
      cluster.await("attempts to reopen", () -> disks.get(only).failures() >= attempts + 3);
      assertEquals(applied, cluster.machine(only).commands());
      disks.get(only).repair();
      cluster.await("recovery", () -> cluster.log(only).status().role() != Role.FAILED);
      assertEquals(applied, cluster.machine(only).commands().subList(0, applied.size()));
      String after = propose(cluster, "after");
      assertTrue(cluster.read(only).contains(after));
      assertEquals(self, cluster.log(only).status().self());
      assertEquals(0, cluster.machine(only).restores());
    }
  }

  /** The leader went on to replicate, but applied nothing and answered nobody. */
  @Test
  void leaderWhoseDiskHangsHandsLeadershipOver() throws Exception {
    try (LogCluster cluster = start(3)) {
      propose(cluster, "before");
      MemberId hung = cluster.leader();
      disks.get(hung).stall(8_000);
      cluster.log(hung).propose(new byte[] {'?'});
      cluster.await(
          "another leader",
          () ->
              disks.keySet().stream()
                  .anyMatch(
                      member -> !member.equals(hung) && cluster.log(member).status().isLeader()));
      disks.get(hung).stall(0);
      String after = propose(cluster, "after");
      assertTrue(cluster.read(hung).contains(after));
    }
  }

  @Test
  void replicaWorksAgainAfterItsStorageThreadThrew() throws Exception {
    try (LogCluster cluster = start(1)) {
      MemberId only = new MemberId("k1");
      String before = propose(cluster, "before");
      disks.get(only).failUnchecked();
      failAndRepair(cluster, only, FaultyDisk.Operation.SYNC_BEFORE);
      String after = propose(cluster, "after");
      assertTrue(cluster.read(only).containsAll(List.of(before, after)));
    }
  }

  @Test
  void startsOnceADiskThatWasFullAtTheStartHasRoom() throws Exception {
    LogCluster cluster = new LogCluster(root, 1);
    MemberId only = new MemberId("k1");
    FaultyDisk disk = new FaultyDisk();
    disk.fail(EnumSet.of(FaultyDisk.Operation.HARD_STATE_BEFORE_WRITE));
    cluster.start(only, disk);
    cluster.await("attempts to start", () -> disk.failures() >= 3);
    disk.repair();
    propose(cluster, "after");
    cluster.close();
  }

  /** The process of a control VM ended if its disk refused writes as it started. */
  @ParameterizedTest
  @EnumSource(names = {"OPEN", "HARD_STATE_BEFORE_WRITE"})
  void joinsOnceADiskThatRefusedWritesAtItsFirstStartWorks(FaultyDisk.Operation operation)
      throws Exception {
    MemberId late = new MemberId("k3");
    FaultyDisk disk = new FaultyDisk();
    disk.fail(EnumSet.of(operation));
    try (LogCluster cluster = new LogCluster(root, 3)) {
      cluster.start(late, disk);
      cluster.start(new MemberId("k1"));
      cluster.start(new MemberId("k2"));
      awaitFailure(cluster, late);
      assertEquals(late, cluster.log(late).status().self().member());
      LogFailure rejected = LogCluster.get(cluster.log(late).propose(new byte[1])).getLeft();
      assertEquals(LogError.STORAGE_FAILED, rejected.error());
      LogFailure unread = LogCluster.get(cluster.log(late).readIndex()).getLeft();
      assertEquals(LogError.STORAGE_FAILED, unread.error());
      cluster.await("attempts to start", () -> disk.failures() >= 3);
      disk.repair();
      String after = propose(cluster, "after");
      assertTrue(cluster.read(late).contains(after));
    }
  }

  @Test
  void stopsWhileItsFirstStartWaitsForTheDisk() throws Exception {
    MemberId only = new MemberId("k1");
    FaultyDisk disk = new FaultyDisk();
    disk.fail(EnumSet.of(FaultyDisk.Operation.OPEN));
    LogCluster cluster = new LogCluster(root, 1);
    cluster.start(only, disk);
    cluster.await("attempts to start", () -> disk.failures() >= 2);
    cluster.stop(only);
    int attempts = disk.failures();
    TimeUnit.MILLISECONDS.sleep(1_500);
    assertEquals(attempts, disk.failures());
  }

  @Test
  void startsOnceTheFolderCouldBePrepared() throws Exception {
    AtomicInteger attempts = new AtomicInteger();
    ReplicatedLog log =
        ReplicatedLog.builder()
            .member(new MemberId("k1"))
            .seeds(Set.of(new MemberId("k1")))
            .folder(root.resolve("k1"))
            .transport(new LocalNetwork().transport(new MemberId("k1")))
            .stateMachine(new RecordingStateMachine())
            .beforeOpening(
                () -> {
                  if (attempts.incrementAndGet() < 3) {
                    throw new IOException("No space left on device");
                  }
                })
            .build();
    log.start();
    try {
      while (!log.status().isLeader()) {
        TimeUnit.MILLISECONDS.sleep(10);
      }
      assertEquals(3, attempts.get());
    } finally {
      log.stop();
    }
  }

  /** A folder that can be read only later may turn out to be damaged. */
  @Test
  void reportsADamagedFolderThatCouldNotBeReadAtTheStart() throws Exception {
    CountDownLatch fatal = new CountDownLatch(1);
    MemberId only = new MemberId("k1");
    FaultyDisk disk = new FaultyDisk();
    disk.fail(EnumSet.of(FaultyDisk.Operation.OPEN));
    Files.createDirectories(root.resolve("k1"));
    Files.write(root.resolve("k1").resolve("identity"), new byte[] {1, 2, 3, 4, 5, 6});
    ReplicatedLog log =
        ReplicatedLog.builder()
            .member(only)
            .folder(root.resolve("k1"))
            .transport(new LocalNetwork().transport(only))
            .stateMachine(new RecordingStateMachine())
            .onFatal(cause -> fatal.countDown())
            .storage(disk)
            .build();
    log.start();
    try {
      assertFalse(fatal.await(300, TimeUnit.MILLISECONDS));
      disk.repair();
      assertTrue(fatal.await(10, TimeUnit.SECONDS));
      assertEquals(Role.FAILED, log.status().role());
    } finally {
      log.stop();
    }
  }

  @Test
  void reportsAStateMachineThatThrowsAndTakesNoPart() throws Exception {
    CountDownLatch fatal = new CountDownLatch(1);
    MemberId only = new MemberId("k1");
    ReplicatedLog log =
        ReplicatedLog.builder()
            .member(only)
            .folder(root.resolve("k1"))
            .transport(new LocalNetwork().transport(only))
            .stateMachine(new ThrowingStateMachine())
            .onFatal(cause -> fatal.countDown())
            .build();
    log.start();
    try {
      Either<LogFailure, AppliedCommand> result = Either.left(null);
      while (fatal.getCount() > 0) {
        result = LogCluster.get(log.propose(new byte[1]));
      }
      assertTrue(result.isLeft());
      assertTrue(fatal.await(10, TimeUnit.SECONDS));
    } finally {
      log.stop();
    }
  }

  private static final class ThrowingStateMachine implements StateMachine {
    @Override
    public byte[] apply(long index, byte[] command) {
      throw new StackOverflowError("thrown by the test");
    }

    @Override
    public SnapshotWriter snapshot() {
      return out -> {};
    }

    @Override
    public void restore(long index, InputStream in) {}
  }

  @Test
  void stoppedWhileItsDiskFails() throws Exception {
    MemberId only = new MemberId("k1");
    try (LogCluster cluster = start(1)) {
      propose(cluster, "before");
      disks.get(only).fail(ALL);
      cluster.log(only).propose(new byte[] {'?'});
      awaitFailure(cluster, only);
      cluster.stop(only);
      disks.get(only).repair();
      cluster.start(only);
      assertEquals("before/0", cluster.read(only).get(0));
    }
  }

  @Test
  void findsALeaderAgainAfterSyncsThatStallForOneSecond() throws Exception {
    try (LogCluster cluster = start(3)) {
      propose(cluster, "before");
      disks.values().forEach(disk -> disk.stall(1000));
      MemberId leader = cluster.leader();
      cluster.network().isolate(leader);
      cluster.await("step down", () -> !cluster.log(leader).status().isLeader());
      TimeUnit.SECONDS.sleep(3);
      cluster.network().heal();
      disks.values().forEach(disk -> disk.stall(0));
      long calm = System.nanoTime();
      propose(cluster, "after");
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calm);
      assertTrue(millis < 4000, "a command was acknowledged only after " + millis + " ms");
    }
  }

  /** While the replica is silent, the leader's window for it fills and the log is compacted. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void catchesUpAfterItMissedMoreThanTheLeaderKeeps(boolean fullDisk) throws Exception {
    try (LogCluster cluster = start(3)) {
      propose(cluster, "before");
      MemberId follower = cluster.follower();
      if (fullDisk) {
        disks.get(follower).fail(ALL);
      } else {
        cluster.network().isolate(follower);
      }
      for (int i = 0; i < 200; i++) {
        propose(cluster, "missed" + i);
      }
      disks.get(follower).repair();
      cluster.network().heal();
      String last = propose(cluster, "after");
      cluster.await(
          "entry after the gap", () -> cluster.machine(follower).commands().contains(last));
    }
  }

  @Test
  void readsAreRejectedWhileTheFirstStartOpensTheStorage() throws Exception {
    CountDownLatch opening = new CountDownLatch(1);
    CountDownLatch opens = new CountDownLatch(1);
    ReplicatedLog log =
        singleLog(
            (folder, member, segmentBytes) -> {
              opening.countDown();
              awaitUninterruptibly(opens);
              return FileLogStorage.open(folder, member, segmentBytes);
            });
    Thread starter = new Thread(log::start);
    starter.start();
    try {
      assertTrue(opening.await(5, TimeUnit.SECONDS));
      LogFailure unread = LogCluster.get(log.readIndex()).getLeft();
      assertEquals(LogError.STORAGE_FAILED, unread.error());
    } finally {
      opens.countDown();
      starter.join();
      log.stop();
    }
  }

  @Test
  void stopTellsWhetherAWriteIsStillUnderWay() throws Exception {
    CountDownLatch writing = new CountDownLatch(1);
    CountDownLatch written = new CountDownLatch(1);
    ReplicatedLog log =
        singleLog(
            (folder, member, segmentBytes) ->
                hangingOnSync(FileLogStorage.open(folder, member, segmentBytes), writing, written));
    log.start();
    try {
      assertTrue(writing.await(5, TimeUnit.SECONDS));
      assertFalse(log.stop());
    } finally {
      written.countDown();
    }
    assertTrue(log.stop());
  }

  private ReplicatedLog singleLog(StorageOpener storage) {
    MemberId only = new MemberId("k1");
    return ReplicatedLog.builder()
        .member(only)
        .seeds(Set.of(only))
        .folder(root.resolve("k1"))
        .transport(new LocalNetwork().transport(only))
        .stateMachine(new RecordingStateMachine())
        .storage(storage)
        .build();
  }

  private static LogStorage hangingOnSync(
      LogStorage storage, CountDownLatch writing, CountDownLatch written) {
    return (LogStorage)
        Proxy.newProxyInstance(
            LogStorage.class.getClassLoader(),
            new Class<?>[] {LogStorage.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("sync")) {
                writing.countDown();
                awaitUninterruptibly(written);
              }
              return method.invoke(storage, arguments);
            });
  }

  /** Waits as a write waits for a disk that hangs. */
  private static void awaitUninterruptibly(CountDownLatch latch) {
    while (latch.getCount() > 0) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
      boolean unused = Thread.interrupted();
    }
  }
}
