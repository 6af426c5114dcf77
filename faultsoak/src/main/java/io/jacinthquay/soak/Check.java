package io.jacinthquay.soak;

/** One promise, judged by what was seen from outside. */
interface Check {
  /** Returns the promise in a few words. */
  String promise();

  /** Judges a whole history. */
  Verdict judge(History history);
}
