package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Ends of real processes; the programs are shell scripts. */
final class ProgramProcessTest {
  private static final long TIMEOUT_SECONDS = 20;

  @TempDir private Path folder;

  private ProgramProcess program(String script) {
    return new ProgramProcess(
        folder,
        folder.resolve("output.log"),
        folder.resolve("settings.toml"),
        () -> List.of("sh", "-c", script));
  }

  private static List<ProgramProcess.Exit> awaitExit(ProgramProcess program) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (program.unexpectedExits().isEmpty() && System.nanoTime() - end < 0) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    return program.unexpectedExits();
  }

  @Test
  void exitIsReportedWithItsCodeAndTheLastLines() throws Exception {
    try (ProgramProcess program = program("seq 10; echo failed >&2; exit 3")) {
      long start = System.nanoTime();
      program.start();
      List<ProgramProcess.Exit> exits = awaitExit(program);
      assertEquals(1, exits.size());
      assertEquals(3, exits.get(0).code());
      assertEquals(List.of("8", "9", "10", "failed"), exits.get(0).lastLines());
      assertTrue(exits.get(0).atNanos() - start > 0);
    }
  }

  /** The last line before an exit tells its cause, also where writes to files are refused. */
  @Test
  void outputIsKeptWhileWritesAreRefused() throws Exception {
    try (ProgramProcess program = program("trap '' XFSZ; read line < go; echo failed; exit 1")) {
      Path go = folder.resolve("go");
      assertEquals(0, new ProcessBuilder("mkfifo", go.toString()).start().waitFor());
      program.start();
      program.rejectWrites(true);
      Files.writeString(go, "go\n");
      assertEquals(List.of("failed"), awaitExit(program).get(0).lastLines());
    }
  }

  @Test
  void outputOfAStopIsKept() throws Exception {
    String script =
        "trap 'sleep 0.2; echo stopped; exit 0' TERM; echo start; while :; do sleep 0.01; done";
    try (ProgramProcess program = program(script)) {
      program.start();
      while (!program.hasWritten()) {
        TimeUnit.MILLISECONDS.sleep(10);
      }
      assertTrue(program.stop());
      program.start();
    }
    List<String> lines = Files.readAllLines(folder.resolve("output.log"));
    assertEquals(List.of("start", "stopped"), lines.subList(0, 2));
  }

  @Test
  void exitThatTheSoakCausedIsNotReported() throws Exception {
    try (ProgramProcess program = program("sleep 60")) {
      program.start();
      program.kill();
      program.start();
      assertTrue(program.stop());
      assertEquals(List.of(), program.unexpectedExits());
    }
  }
}
