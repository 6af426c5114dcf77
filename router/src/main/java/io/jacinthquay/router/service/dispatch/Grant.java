package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.model.UpstreamId;
import java.net.InetSocketAddress;

/** Permission to send a request to an upstream once. */
public interface Grant {
  /** Returns the upstream. */
  UpstreamId upstream();

  /** Returns the address of the upstream. */
  InetSocketAddress address();
}
