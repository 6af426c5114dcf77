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
 * Drives a {@link RaftNode} in virtual time the way the runtime does, with a crash at any point.
 */
final class SimNode {
  private static final int SNAPSHOT_EVERY = 12;
  private static final int RETAINED = 4;
  private static final int PIECE_BYTES = 16;
  private static final RaftOptions OPTIONS =
      new RaftOptions(60_000_000, 200_000_000, 500_000_000, 4, 64, 4, true, 0);

  private final SimCluster cluster;
  private final Set<MemberId> seeds;
  private final ArrayDeque<Ready> storageQueue = new ArrayDeque<>();
  private final Map<Long, Long> proposals = new HashMap<>();
  private final Map<Long, Long> reads = new HashMap<>();
  private SimDisk disk;
  private RaftNode raft;
  private int life;
  private List<Integer> state = new ArrayList<>();
  private SnapshotMeta applied = SnapshotMeta.NONE;
  private long lastSnapshot;
  private boolean diskFails;
  private double clockRate = 1;
  private long localTime;
  private long localSince;
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
    return localTime + (long) ((cluster.now() - localSince) * clockRate);
  }

  void setClockRate(double rate) {
    localTime = now();
    localSince = cluster.now();
    clockRate = rate;
  }

  void pause(long nanos) {
    pausedUntil = cluster.now() + nanos;
  }

  void start() {
    if (cluster.fault() == Fault.FORGET_VOTE_OVER_RESTART) {
      disk.forgetVote();
    }
    life++;
    diskFails = false;
    Recovered recovered = disk.recovered();
    raft =
        new RaftNode(
            OPTIONS, replica(), seeds, recovered, cluster.fault().rules(), cluster.random(), now());
    applied = recovered.snapshot();
    lastSnapshot = applied.index();
    state = applied.index() > 0 ? decode(disk.snapshot(applied)) : new ArrayList<>();
    scheduleTick();
  }

  /** Loses everything but the disk, to which any prefix of the queued work may have got. */
  void crash() {
    if (raft == null) {
      return;
    }
    int survived = cluster.random().nextInt(storageQueue.size() + 1);
    for (int i = 0; i < survived && !diskFails; i++) {
      write(storageQueue.pollFirst(), true);
    }
    if (!storageQueue.isEmpty() && !diskFails && cluster.random().nextBoolean()) {
      write(storageQueue.pollFirst(), false);
    }
    storageQueue.clear();
    proposals.clear();
    reads.clear();
    raft = null;
    life++;
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

  /** Runs an event on this node unless it crashes first; a paused node runs it when it resumes. */
  private void schedule(long delay, Runnable event) {
    int scheduledIn = life;
    cluster.schedule(delay, () -> runIn(scheduledIn, event));
  }

  private void runIn(int scheduledIn, Runnable event) {
    if (life != scheduledIn || raft == null) {
      return;
    }
    if (cluster.now() < pausedUntil) {
      cluster.schedule(pausedUntil - cluster.now(), () -> runIn(scheduledIn, event));
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
        0, () -> raft.propose(bytes(value), now()).peek(e -> proposals.put(e.index(), e.term())));
  }

  void read() {
    long acknowledged = cluster.oracle().highestAcknowledged();
    schedule(0, () -> reads.put(raft.readIndex(now()), acknowledged));
  }

  void handOver() {
    schedule(0, () -> raft.handOver(now()));
  }

  boolean change(MembershipChange change) {
    Either<?, Entry> answer = raft.change(change, now());
    process();
    return answer.isRight();
  }

  private void process() {
    Ready ready = raft.drain();
    LogStatus status = status();
    cluster.oracle().observed(status);
    cluster.saw(status.membership());
    ready.immediate().forEach(cluster::send);
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
      report(ready);
      schedule(0, () -> raft.persisted(ready.sequence(), now()));
    }
    storageQueue.addLast(ready);
    if (storageQueue.size() == 1) {
      scheduleStorage();
    }
  }

  private void scheduleStorage() {
    boolean slow = cluster.random().nextInt(20) == 0;
    long delay = cluster.random().nextLong(slow ? 100_000_000 : cluster.slowness() * 3_000_000);
    schedule(delay, this::runStorage);
  }

  private void runStorage() {
    if (diskFails) {
      storageQueue.clear();
      raft.storageFailed(now());
      return;
    }
    Ready ready = storageQueue.pollFirst();
    boolean installed = write(ready, true);
    if (cluster.fault() != Fault.ACKNOWLEDGE_BEFORE_SYNC) {
      report(ready);
    }
    ready.snapshotReads().forEach(this::sendPiece);
    if (ready.sequence() > 0) {
      raft.persisted(ready.sequence(), now());
    }
    if (installed) {
      raft.snapshotInstalled(disk.latestSnapshot(), now());
    }
    if (!storageQueue.isEmpty()) {
      scheduleStorage();
    }
  }

  /** Brings work to the disk, all of it or a part, and tells whether a snapshot was installed. */
  private boolean write(Ready ready, boolean whole) {
    ready.hardState().ifPresent(disk::store);
    boolean installed = false;
    for (Ready.SnapshotWrite write : ready.snapshotWrites()) {
      installed |= disk.receive(write);
    }
    List<Entry> entries = ready.entries();
    disk.append(whole ? entries : entries.subList(0, cluster.random().nextInt(entries.size() + 1)));
    return installed;
  }

  private void report(Ready ready) {
    ready.afterPersist().forEach(cluster::send);
  }

  private void sendPiece(Ready.SnapshotRead read) {
    byte[] all = disk.snapshot(read.meta());
    int from = (int) Math.min(read.offset(), all.length);
    int to = Math.min(from + PIECE_BYTES, all.length);
    byte[] piece = java.util.Arrays.copyOfRange(all, from, to);
    cluster.send(
        new Message.SnapshotChunk(
            replica(), read.to(), read.term(), read.meta(), from, piece, to == all.length));
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
    if (applied.index() - lastSnapshot < SNAPSHOT_EVERY) {
      return;
    }
    lastSnapshot = applied.index();
    SnapshotMeta meta = applied;
    byte[] encoded = encode(state);
    schedule(
        cluster.random().nextLong(20_000_000),
        () -> {
          disk.saveSnapshot(meta, encoded);
          disk.compactTo(raft.snapshotSaved(meta, RETAINED));
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
