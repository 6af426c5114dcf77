package io.jacinthquay.router.service.request;

import io.jacinthquay.router.port.AnswerHead;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.Header;
import java.util.ArrayList;
import java.util.List;

/** Sends whole answers that the router makes itself. */
final class Pages {
  private Pages() {}

  static void send(Caller caller, int status, String type, byte[] body, List<Header> more) {
    List<Header> headers = new ArrayList<>(more);
    headers.add(new Header("content-type", type));
    caller.answer(new AnswerHead(status, headers), body);
  }
}
