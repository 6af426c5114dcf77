package io.jacinthquay.router.service.report;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ProcessMemoryTest {
  @TempDir private Path process;

  @Test
  void figuresOfTheSystemHaveTheirUnit() throws IOException {
    Files.writeString(
        process.resolve("status"),
        "Name:\tjava\nVmHWM:\t  2048 kB\nVmRSS:\t 1024 kB\nThreads:\t7\n");
    Files.createDirectory(process.resolve("fd"));
    Files.createFile(process.resolve("fd").resolve("0"));
    ProcessMemory memory = new ProcessMemory(process);
    assertEquals(2L << 20, memory.peakResidentBytes());
    assertEquals(1L << 20, memory.residentBytes());
    assertEquals(7, memory.threads());
    assertEquals(1, memory.descriptors());
  }

  @Test
  void figuresThatCannotBeReadAreUnknown() {
    ProcessMemory memory = new ProcessMemory(process.resolve("none"));
    assertEquals(ProcessMemory.UNKNOWN, memory.residentBytes());
    assertEquals(ProcessMemory.UNKNOWN, memory.descriptors());
  }

  /** A process that neither served nor ended left no line that named its heap. */
  @ParameterizedTest
  @CsvSource({"80, 100, 0, false", "86, 100, 0, true", "10, 100, 290, false", "10, 100, 310, true"})
  void heapIsShortIfItIsNearlyFullOrCollectedMuchOfTheTime(
      long heap, long max, long collectionMillis, boolean expected) {
    assertEquals(expected, MemoryWatch.isShort(heap, max, collectionMillis, 1_000));
  }
}
