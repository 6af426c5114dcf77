package io.jacinthquay.router.service.request;

import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.ResponseHead;
import java.util.ArrayList;
import java.util.List;

/** Sends complete answers that the router creates itself. */
final class LocalAnswers {
  private LocalAnswers() {}

  static void send(
      Caller caller, int status, String contentType, byte[] body, List<Header> extraHeaders) {
    List<Header> headers = new ArrayList<>(extraHeaders);
    headers.add(new Header("content-type", contentType));
    caller.sendResponse(new ResponseHead(status, headers), body);
  }
}
