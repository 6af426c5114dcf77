package io.jacinthquay.router.port;

/** Listens for write readiness and disconnects of a caller, on the thread of the request. */
public interface CallerListener {
  /** Called when everything written so far has been passed to the network. */
  void onWritable();

  /** Called when the connection ends before the response is complete. */
  void onDisconnect(DisconnectReason reason);
}
