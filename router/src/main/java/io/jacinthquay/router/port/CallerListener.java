package io.jacinthquay.router.port;

/** Hears of a slow or lost caller, on the thread of the request. */
public interface CallerListener {
  /** Everything written so far was taken by the caller. */
  void onWritable();

  /** The caller went away. */
  void onGone();
}
