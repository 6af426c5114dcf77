package io.jacinthquay.consensus.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Records what is done to the files of one folder, and builds what a loss of power may leave of it:
 * each file as its last sync left it, later writes kept, lost or torn one by one, and names that
 * were created, renamed or removed since the last sync of the folder kept or lost one by one.
 */
final class RecordedDisk {
  /** What happens to the operations that no sync covers. */
  enum Unsynced {
    KEPT,
    LOST,
    DRAWN
  }

  private static final class FileState {
    private byte[] durable = new byte[0];
    private final List<Write> pending = new ArrayList<>();
  }

  /**
   * A write or, without bytes, a truncation.
   *
   * @param offset the offset in bytes
   * @param bytes what is written, or null for a truncation
   */
  private record Write(int offset, byte[] bytes) {
    byte[] apply(byte[] before, SplittableRandom random) {
      if (bytes == null) {
        return offset < before.length ? Arrays.copyOf(before, offset) : before;
      }
      int length = random == null ? bytes.length : random.nextInt(bytes.length + 1);
      byte[] after = Arrays.copyOf(before, Math.max(before.length, offset + length));
      System.arraycopy(bytes, 0, after, offset, length);
      return after;
    }
  }

  /** A name that was removed, or points to another file now. */
  private record Rename(String from, String to, Integer file) {
    void apply(Map<String, Integer> names) {
      if (from != null) {
        names.remove(from, file);
      }
      if (to != null) {
        names.put(to, file);
      }
    }
  }

  private final List<FileState> files = new ArrayList<>();
  private final Map<String, Integer> names = new HashMap<>();
  private final Map<String, Integer> durableNames = new HashMap<>();
  private final List<Rename> pendingRenames = new ArrayList<>();
  private int operations;
  private int powerLossAfter = Integer.MAX_VALUE;
  private int fullAfter = Integer.MAX_VALUE;
  private int fullUntil = Integer.MAX_VALUE;

  /** Thrown by every operation after the loss of power. */
  static final class PowerLossError extends Error {
    private static final long serialVersionUID = 1;
  }

  /** Makes the power fail before an operation, counted from 0. */
  void losePowerBefore(int operation) {
    powerLossAfter = operation;
  }

  /** Makes all writes fail from one operation on to another, counted from 0. */
  void refuseWrites(int from, int to) {
    fullAfter = from;
    fullUntil = to;
  }

  /** Adds a file that is already durable. */
  void adopt(String name, byte[] content) {
    FileState state = new FileState();
    state.durable = content;
    files.add(state);
    names.put(name, files.size() - 1);
    durableNames.put(name, files.size() - 1);
  }

  int operations() {
    return operations;
  }

  private void count(boolean needsSpace) throws IOException {
    if (operations >= powerLossAfter) {
      throw new PowerLossError();
    }
    int number = operations++;
    if (needsSpace && number >= fullAfter && number < fullUntil) {
      throw new IOException("No space left on device");
    }
  }

  private void rename(String from, String to, Integer file) {
    Rename rename = new Rename(from, to, file);
    rename.apply(names);
    pendingRenames.add(rename);
  }

  /** Called before a file is opened for writing. */
  void opened(String name, boolean truncate) throws IOException {
    if (!names.containsKey(name)) {
      count(true);
      files.add(new FileState());
      rename(null, name, files.size() - 1);
    } else if (truncate) {
      written(names.get(name), 0, null);
    }
  }

  int file(String name) {
    return names.get(name);
  }

  void written(int file, int offset, byte[] bytes) throws IOException {
    count(bytes != null);
    files.get(file).pending.add(new Write(offset, bytes));
  }

  void synced(int file) throws IOException {
    count(false);
    FileState state = files.get(file);
    for (Write write : state.pending) {
      state.durable = write.apply(state.durable, null);
    }
    state.pending.clear();
  }

  void moved(String from, String to) throws IOException {
    count(true);
    rename(from, to, names.get(from));
  }

  void removed(String name) throws IOException {
    count(false);
    rename(name, null, names.get(name));
  }

  void folderSynced() throws IOException {
    count(false);
    pendingRenames.forEach(rename -> rename.apply(durableNames));
    pendingRenames.clear();
  }

  /** Writes what a loss of power at this moment may leave to an empty folder. */
  void writeRemains(Path target, Unsynced unsynced, SplittableRandom random) throws IOException {
    Map<String, Integer> remaining = new TreeMap<>(durableNames);
    for (Rename rename : pendingRenames) {
      if (isKept(unsynced, random)) {
        rename.apply(remaining);
      }
    }
    Files.createDirectories(target);
    for (Map.Entry<String, Integer> name : remaining.entrySet()) {
      FileState state = files.get(name.getValue());
      byte[] content = state.durable;
      for (Write write : state.pending) {
        if (isKept(unsynced, random)) {
          boolean torn = unsynced == Unsynced.DRAWN && random.nextInt(3) == 0;
          content = write.apply(content, torn ? random : null);
        }
      }
      Files.write(target.resolve(name.getKey()), content);
    }
  }

  private static boolean isKept(Unsynced unsynced, SplittableRandom random) {
    return unsynced == Unsynced.KEPT || (unsynced == Unsynced.DRAWN && random.nextBoolean());
  }
}
