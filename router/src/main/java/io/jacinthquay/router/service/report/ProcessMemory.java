package io.jacinthquay.router.service.report;

import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * What this process takes, as the JVM and the system count it; for use by any thread.
 *
 * <p>Figures of the system are read from {@code /proc} at each call and are {@link #UNKNOWN} where
 * there is none.
 */
public final class ProcessMemory {
  /** Value of a figure that can't be read. */
  public static final long UNKNOWN = -1;

  private static final long KIB = 1_024;
  private static final String DIRECT_POOL = "direct";

  private final Path process;

  /** Returns the figures of this process. */
  public ProcessMemory() {
    this(Path.of("/proc/self"));
  }

  /** Returns the figures of the process with the given folder. */
  ProcessMemory(Path process) {
    this.process = process;
  }

  /** Returns the bytes of the heap in use, garbage included. */
  public long heapBytes() {
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** Returns the largest size of the heap, in bytes. */
  public long maxHeapBytes() {
    return Runtime.getRuntime().maxMemory();
  }

  /** Returns the bytes of direct buffers. */
  public long directBytes() {
    return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
        .filter(pool -> pool.getName().equals(DIRECT_POOL))
        .mapToLong(BufferPoolMXBean::getMemoryUsed)
        .sum();
  }

  /** Returns the time that collections of garbage have taken since the start, in milliseconds. */
  public long collectionMillis() {
    return ManagementFactory.getGarbageCollectorMXBeans().stream()
        .mapToLong(GarbageCollectorMXBean::getCollectionTime)
        .sum();
  }

  /** Returns the resident memory, in bytes. */
  public long residentBytes() {
    return status("VmRSS:", KIB);
  }

  /** Returns the most resident memory since the start, in bytes. */
  public long peakResidentBytes() {
    return status("VmHWM:", KIB);
  }

  /** Returns the number of threads, those of the JVM included. */
  public long threads() {
    return status("Threads:", 1);
  }

  /** Returns the number of open descriptors. */
  public long descriptors() {
    try (Stream<Path> open = Files.list(process.resolve("fd"))) {
      return open.count();
    } catch (IOException e) {
      return UNKNOWN;
    }
  }

  private long status(String field, long unit) {
    try (Stream<String> lines = Files.lines(process.resolve("status"))) {
      return lines
          .filter(line -> line.startsWith(field))
          .mapToLong(line -> unit * Long.parseLong(line.replaceAll("\\D", "")))
          .findFirst()
          .orElse(UNKNOWN);
    } catch (IOException e) {
      return UNKNOWN;
    }
  }
}
