package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.HdrHistogram.Recorder;
import org.junit.jupiter.api.Test;

final class CallerLoopTest {
  private static final int CALLERS = 100;
  private static final int RUN_SECONDS = 6;
  private static final int END_SECONDS = 20;

  private static void readOnly(Socket socket) throws IOException {
    socket.getInputStream().transferTo(OutputStream.nullOutputStream());
  }

  /** Where nobody answers, each request ends because its caller left, pipelined ones too. */
  @Test
  void callerLeavesAllItsPipelinedRequests() throws Exception {
    History history = new History();
    AtomicBoolean keepRunning = new AtomicBoolean(true);
    ExecutorService threads = Executors.newCachedThreadPool();
    try (Acceptor server = new Acceptor(CallerLoopTest::readOnly)) {
      for (int i = 0; i < CALLERS; i++) {
        threads.execute(
            new CallerLoop(
                i,
                List.of(server.address()),
                history,
                new SplittableRandom(i),
                keepRunning::get,
                new Recorder(2)));
      }
      TimeUnit.SECONDS.sleep(RUN_SECONDS);
      keepRunning.set(false);
      threads.shutdown();
      assertTrue(threads.awaitTermination(END_SECONDS, TimeUnit.SECONDS));
    }
    assertEquals(
        List.of(),
        history.calls().stream().filter(call -> call.ending() != Call.Ending.LEFT).toList());
  }
}
