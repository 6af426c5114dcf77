package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Faults of starts and hostile callers do what they say; programs are shell scripts. */
final class NamedFaultsTest {
  private static final long TIMEOUT_SECONDS = 20;

  @TempDir private Path folder;

  /** A shell can't trap a signal that it was started to ignore, as under nohup. */
  private ProgramProcess program(String script) {
    return new ProgramProcess(
        folder,
        folder.resolve("output.log"),
        folder.resolve("settings.toml"),
        () -> List.of("env", "--default-signal=HUP", "sh", "-c", script));
  }

  private static Fault fault(FaultKind kind, long durationMillis) {
    return new Fault(kind, 0, 0, durationMillis);
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
    }
  }

  private static void connect(InetSocketAddress address) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(address);
    }
  }

  @Test
  void portIsHeldOverAStart() throws Exception {
    InetSocketAddress address = freeAddress();
    try (ProgramProcess program = program("sleep 60")) {
      program.start();
      CompletableFuture<Void> fault =
          CompletableFuture.runAsync(
              () -> {
                try {
                  StartFaults.holdPort(program, address, fault(FaultKind.ROUTER_PORT_HELD, 2_000));
                } catch (IOException | InterruptedException e) {
                  throw new IllegalStateException(e);
                }
              });
      TimeUnit.MILLISECONDS.sleep(1_000);
      connect(address);
      fault.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertThrows(ConnectException.class, () -> connect(address));
      assertTrue(program.isAlive());
      assertEquals(List.of(), program.unexpectedExits());
    }
  }

  /** The program of 3 ms divides by three, so that SIGTERM follows the reloads. */
  @ParameterizedTest
  @CsvSource({"1, 2, 1", "3, 4, 2"})
  void signalsFollowTheFirstLine(long durationMillis, int reloads, int starts) throws Exception {
    String script =
        "trap 'echo reload' HUP; trap 'exit 0' TERM; echo start; while :; do sleep 0.001; done";
    try (ProgramProcess program = program(script)) {
      StartFaults.signalStart(program, fault(FaultKind.ROUTER_START_SIGNALLED, durationMillis));
      TimeUnit.MILLISECONDS.sleep(500);
      program.kill();
      assertEquals(List.of(), program.unexpectedExits());
    }
    TimeUnit.MILLISECONDS.sleep(100);
    List<String> lines = Files.readAllLines(folder.resolve("output.log"));
    assertEquals("start", lines.get(0));
    assertEquals(starts, lines.stream().filter("start"::equals).count());
    long reloadsSeen = lines.stream().filter("reload"::equals).count();
    assertTrue(reloadsSeen >= 1 && reloadsSeen <= reloads, lines.toString());
  }

  @Test
  void writesAreRefusedDuringTheStart() throws Exception {
    String script = "trap '' XFSZ; sleep 0.5; echo 1234567 > data || echo refused; sleep 60";
    try (ProgramProcess program = program(script)) {
      StartFaults.startWithFullDisk(program, fault(FaultKind.CONTROL_WIPED_DISK_FULL, 1_500));
      assertTrue(Files.size(folder.resolve("data")) < 8);
      assertTrue(program.isAlive());
    }
  }

  /** Hostile callers leave after the fault. */
  @ParameterizedTest
  @CsvSource({"ROUTER_HEADS, 31744, 0", "ROUTER_PARTIAL_REQUESTS, 150, 3"})
  void hostileCallersSendTooLittle(FaultKind kind, int bytes, int requests) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address =
          new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
      CompletableFuture<String> received =
          CompletableFuture.supplyAsync(
              () -> {
                try (Socket socket = server.accept()) {
                  return new String(
                      socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
                } catch (IOException e) {
                  throw new IllegalStateException(e);
                }
              });
      if (kind == FaultKind.ROUTER_HEADS) {
        HostileCallers.sendHeads(address, fault(kind, 1_000));
      } else {
        HostileCallers.sendPartialRequests(address, fault(kind, 1_000));
      }
      String text = received.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertTrue(text.length() >= bytes, text.length() + " bytes");
      assertEquals(requests, text.split("\r\n\r\n", -1).length - 1);
      assertFalse(text.endsWith("\r\n\r\n"));
    }
  }
}
