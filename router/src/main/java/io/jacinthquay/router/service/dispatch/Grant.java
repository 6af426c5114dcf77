package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.model.UpstreamId;
import java.net.InetSocketAddress;

/** Permission to send one request to one upstream, once. */
public interface Grant {
  /** Returns the upstream. */
  UpstreamId upstream();

  /** Returns where it listens. */
  InetSocketAddress address();
}
