package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.router.adapter.http.CallerServer;
import io.jacinthquay.router.adapter.http.ListenerLimits;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.RequestHead;
import io.jacinthquay.router.port.RequestIntake;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that a connection ends whose listener throws on the I/O thread. */
class ListenerFaultTest {
  private static final int TIMEOUT_MILLIS = 5_000;

  /** Time for the server to wait for the body, after it has admitted the head. */
  private static final int PAUSE_MILLIS = 300;

  private record FailingIntake(boolean error, CountDownLatch admitted) implements RequestIntake {
    @Override
    public RequestId nextId() {
      return new RequestId("r-1");
    }

    @Override
    public Either<Failure, AdmittedHead> admit(RequestId id, RequestHead head) {
      admitted.countDown();
      return Either.right(
          (body, caller) -> {
            if (error) {
              throw new AssertionError("fault");
            }
            throw new IllegalStateException("fault");
          });
    }

    @Override
    public void refuse(RequestId id, RequestHead head, Failure failure, Caller caller) {
      throw new IllegalStateException("not refused");
    }
  }

  /** XNIO logged the exception and left the connection open without an answer. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void connectionEndsWhenALaterReadFails(boolean error) throws IOException, InterruptedException {
    CountDownLatch admitted = new CountDownLatch(1);
    CallerServer server =
        new CallerServer(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            1,
            ListenerLimits.defaults(),
            new FailingIntake(error, admitted));
    server.start();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      OutputStream out = socket.getOutputStream();
      String head = "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.US_ASCII));
      admitted.await();
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
      out.write("body".getBytes(StandardCharsets.US_ASCII));
      assertEquals(0, socket.getInputStream().readAllBytes().length);
    } finally {
      server.stop();
    }
  }
}
