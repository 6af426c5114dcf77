package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.MembershipChange;
import io.jacinthquay.consensus.ReplicaId;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Drives a {@link RaftNode} in virtual time the way the runtime does. It can crash at any point.
 */
final class SimNode {
  private static final int SNAPSHOT_INTERVAL_ENTRIES = 12;
  private static final int RETAINED_ENTRIES = 4;
  private static final int CHUNK_BYTES = 16;

  private final SimCluster cluster;
  private final Set<MemberId> seeds;
  private final ArrayDeque<Ready> storageQueue = new ArrayDeque<>();
  private final Map<Long, Long> proposals = new HashMap<>();
  private final Map<Long, Long> reads = new HashMap<>();
  private SimDisk disk;
  private RaftNode raft;

  /** Counts starts and crashes, so that events scheduled before one of them are dropped. */
  private int epoch;

  private List<Integer> state = new ArrayList<>();
  private SnapshotMeta applied = SnapshotMeta.NONE;
  private long lastSnapshot;
  private boolean diskFails;
  private double clockRate = 1;
  private long localTime;
  private long localTimeSetAt;
  private long pausedUntil;

  SimNode(SimCluster cluster, Set<MemberId> seeds, SimDisk disk) {
    this.cluster = cluster;
    this.seeds = seeds;
    this.disk = disk;
  }

  static int value(Payload.Command command) {
    return ByteBuffer.wrap(command.bytes()).getInt();
  }

  private static byte[] bytes(int value) {
    return ByteBuffer.allocate(Integer.BYTES).putInt(value).array();
  }

  ReplicaId replica() {
    return disk.replica();
  }

  SimDisk disk() {
    return disk;
  }

  boolean isUp() {
    return raft != null;
  }

  LogStatus status() {
    return raft.status(applied.index());
  }

  List<Integer> state() {
    return state;
  }

  long appliedIndex() {
    return applied.index();
  }

  private long now() {
    return localTime + (long) ((cluster.now() - localTimeSetAt) * clockRate);
  }

  void setClockRate(double rate) {
    localTime = now();
    localTimeSetAt = cluster.now();
    clockRate = rate;
  }

  void pause(long nanos) {
    pausedUntil = cluster.now() + nanos;
  }

  private RaftOptions options() {
    return new RaftOptions(
        60_000_000, 200_000_000, 500_000_000, 4, 64, 4, true, cluster.targetVoters());
  }

  void start() {
    if (cluster.fault() == Fault.FORGET_VOTE_OVER_RESTART) {
      disk.forgetVote();
    }
    epoch++;
    diskFails = false;
    RecoveredState recovered = disk.recovered();
    raft =
        new RaftNode(
            options(),
            replica(),
            seeds,
            recovered,
            cluster.fault().rules(),
            cluster.random(),
            now());
    applied = recovered.snapshot();
    lastSnapshot = applied.index();
    state = applied.index() > 0 ? decode(disk.snapshot(applied)) : new ArrayList<>();
    scheduleTick();
  }

  /**
   * Crashes: only the disk is left, to which any prefix of the queued work may have been written.
   */
  void crash() {
    if (raft == null) {
      return;
    }
    int written = cluster.random().nextInt(storageQueue.size() + 1);
    for (int i = 0; i < written && !diskFails; i++) {
      write(storageQueue.pollFirst(), true);
    }
    if (!storageQueue.isEmpty() && !diskFails && cluster.random().nextBoolean()) {
      write(storageQueue.pollFirst(), false);
    }
    storageQueue.clear();
    proposals.clear();
    reads.clear();
    raft = null;
    epoch++;
  }

  void wipe(SimDisk fresh) {
    crash();
    disk = fresh;
  }

  void failDisk() {
    diskFails = true;
  }

  private void scheduleTick() {
    schedule(
        SimCluster.TICK_NANOS,
        () -> {
          raft.tick(now());
          scheduleTick();
        });
  }

  /** Runs an event on this node unless it crashes first. A paused node runs it when it resumes. */
  private void schedule(long delay, Runnable event) {
    int scheduledEpoch = epoch;
    cluster.schedule(delay, () -> runInEpoch(scheduledEpoch, event));
  }

  private void runInEpoch(int scheduledEpoch, Runnable event) {
    if (epoch != scheduledEpoch || raft == null) {
      return;
    }
    if (cluster.now() < pausedUntil) {
      cluster.schedule(pausedUntil - cluster.now(), () -> runInEpoch(scheduledEpoch, event));
      return;
    }
    event.run();
    process();
  }

  void receive(Message message) {
    schedule(0, () -> raft.receive(message, now()));
  }

  void propose(int value) {
    schedule(
        0,
        () ->
            raft.propose(bytes(value), now())
                .peek(entry -> proposals.put(entry.index(), entry.term())));
  }

  void read() {
    long acknowledged = cluster.oracle().highestAcknowledged();
    schedule(0, () -> reads.put(raft.readIndex(now()), acknowledged));
  }

  void transferLeadership() {
    schedule(0, () -> raft.transferLeadership(now()));
  }

  boolean change(MembershipChange change) {
    Either<?, Entry> result = raft.proposeMembershipChange(change, now());
    process();
    return result.isRight();
  }

  private void process() {
    Ready ready = raft.drain();
    LogStatus status = status();
    cluster.oracle().observed(status);
    cluster.observeMembership(status.membership());
    ready.immediateMessages().forEach(cluster::send);
    if (ready.needsStorage()) {
      queue(ready);
    }
    ready.restore().ifPresent(this::restore);
    ready.committed().forEach(this::apply);
    for (Ready.ReadState read : ready.reads()) {
      Long acknowledged = reads.remove(read.requestId());
      if (acknowledged != null && read.index().isPresent()) {
        cluster.oracle().read(replica(), acknowledged, read.index().get());
      }
    }
  }

  private void queue(Ready ready) {
    if (cluster.fault() == Fault.ACKNOWLEDGE_BEFORE_SYNC) {
      sendAfterPersist(ready);
      schedule(0, () -> raft.onPersisted(ready.sequence(), now()));
    }
    storageQueue.addLast(ready);
    if (storageQueue.size() == 1) {
      scheduleStorage();
    }
  }

  private void scheduleStorage() {
    boolean slowWrite = cluster.random().nextInt(20) == 0;
    long delay =
        cluster.random().nextLong(slowWrite ? 100_000_000 : cluster.latencyFactor() * 3_000_000);
    schedule(delay, this::runStorage);
  }

  private void runStorage() {
    if (diskFails) {
      storageQueue.clear();
      raft.onStorageFailed(now());
      return;
    }
    Ready ready = storageQueue.pollFirst();
    boolean installed = write(ready, true);
    if (cluster.fault() != Fault.ACKNOWLEDGE_BEFORE_SYNC) {
      sendAfterPersist(ready);
    }
    ready.snapshotReads().forEach(this::sendChunk);
    if (ready.sequence() > 0) {
      raft.onPersisted(ready.sequence(), now());
    }
    if (installed) {
      raft.onSnapshotInstalled(disk.latestSnapshot(), now());
    }
    if (!storageQueue.isEmpty()) {
      scheduleStorage();
    }
  }

  /** Writes work to the disk, all of it or a part, and returns whether a snapshot was installed. */
  private boolean write(Ready ready, boolean complete) {
    ready.hardState().ifPresent(disk::store);
    boolean installed = false;
    for (Ready.SnapshotWrite write : ready.snapshotWrites()) {
      installed |= disk.receive(write);
    }
    List<Entry> entries = ready.entries();
    disk.append(
        complete ? entries : entries.subList(0, cluster.random().nextInt(entries.size() + 1)));
    return installed;
  }

  private void sendAfterPersist(Ready ready) {
    ready.messagesAfterPersist().forEach(cluster::send);
  }

  private void sendChunk(Ready.SnapshotRead read) {
    byte[] snapshot = disk.snapshot(read.meta());
    int from = (int) Math.min(read.offset(), snapshot.length);
    int to = Math.min(from + CHUNK_BYTES, snapshot.length);
    byte[] chunk = java.util.Arrays.copyOfRange(snapshot, from, to);
    cluster.send(
        new Message.SnapshotChunk(
            replica(), read.to(), read.term(), read.meta(), from, chunk, to == snapshot.length));
  }

  private void restore(SnapshotMeta meta) {
    applied = meta;
    lastSnapshot = meta.index();
    state = decode(disk.snapshot(meta));
    cluster.oracle().restored(replica(), meta.index(), state);
  }

  private void apply(Entry entry) {
    cluster.oracle().delivered(replica(), applied.index(), entry);
    var membership = applied.membership();
    if (entry.payload() instanceof Payload.Command command) {
      state.add(value(command));
    } else if (entry.payload() instanceof Payload.Reconfiguration change) {
      membership = change.membership();
    }
    applied = new SnapshotMeta(entry.index(), entry.term(), membership);
    Long term = proposals.remove(entry.index());
    if (term != null && term == entry.term()) {
      cluster.oracle().acknowledged(entry);
    }
    takeSnapshotIfDue();
  }

  private void takeSnapshotIfDue() {
    if (applied.index() - lastSnapshot < SNAPSHOT_INTERVAL_ENTRIES) {
      return;
    }
    lastSnapshot = applied.index();
    SnapshotMeta meta = applied;
    byte[] encoded = encode(state);
    schedule(
        cluster.random().nextLong(20_000_000),
        () -> {
          disk.saveSnapshot(meta, encoded);
          disk.compactTo(raft.onSnapshotSaved(meta, RETAINED_ENTRIES));
        });
  }

  private static byte[] encode(List<Integer> values) {
    ByteBuffer buffer = ByteBuffer.allocate(values.size() * Integer.BYTES);
    values.forEach(buffer::putInt);
    return buffer.array();
  }

  private static List<Integer> decode(byte[] bytes) {
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    List<Integer> values = new ArrayList<>();
    while (buffer.hasRemaining()) {
      values.add(buffer.getInt());
    }
    return values;
  }
}
