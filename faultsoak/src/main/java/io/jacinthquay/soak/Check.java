package io.jacinthquay.soak;

/** Checks one guarantee of the system against what was observed from outside. */
interface Check {
  /** Returns the guarantee in a few words, for the report. */
  String guarantee();

  /** Checks a complete history. */
  Verdict judge(History history);
}
