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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.RejectedExecutionException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that an exception in the router after it accepted a request is not reported to the caller
 * as if the request had never run.
 */
class CallerHandlerFaultTest {
  /** Throws after it accepted a request, which may already have been sent to an upstream. */
  private record FailingIntake(RuntimeException fault) implements RequestIntake {
    @Override
    public RequestId nextId() {
      return new RequestId("r-1");
    }

    @Override
    public Either<Failure, AdmittedHead> admit(RequestId id, RequestHead head) {
      return Either.right(
          (body, caller) -> {
            throw fault;
          });
    }

    @Override
    public void refuse(RequestId id, RequestHead head, Failure failure, Caller caller) {
      throw fault;
    }
  }

  private static String statusAfter(RuntimeException fault) throws IOException {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    CallerServer server =
        new CallerServer(address, 1, ListenerLimits.defaults(), new FailingIntake(fault));
    server.start();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      String request = "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      byte[] responseBytes = socket.getInputStream().readAllBytes();
      String response = new String(responseBytes, StandardCharsets.US_ASCII);
      return response.isEmpty() ? "" : response.split(" ")[1];
    } finally {
      server.stop();
    }
  }

  /** Undertow by itself responds with 503 if a task is rejected. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void exceptionAfterAdmissionIsNotReportedAsNotRun(boolean rejected) throws IOException {
    RuntimeException fault =
        rejected ? new RejectedExecutionException("stopping") : new IllegalStateException("fault");
    assertEquals("500", statusAfter(fault));
  }
}
