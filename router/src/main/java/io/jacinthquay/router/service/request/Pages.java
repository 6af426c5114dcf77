package io.jacinthquay.router.service.request;

import io.jacinthquay.router.port.AnswerHead;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.Header;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Sends whole answers that the router makes itself. */
final class Pages {
  private Pages() {}

  static void send(Caller caller, int status, String type, byte[] body, List<Header> more) {
    List<Header> headers = new ArrayList<>(more);
    headers.add(new Header("content-type", type));
    caller.begin(new AnswerHead(status, headers), OptionalLong.of(body.length));
    caller.write(ByteBuffer.wrap(body));
    caller.end();
  }
}
