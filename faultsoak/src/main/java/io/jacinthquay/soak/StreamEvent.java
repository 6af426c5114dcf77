package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;

/**
 * One event of a stream. Its text tells which run of an upstream made it.
 *
 * @param stream id of the first attempt at the stream
 * @param number number of the event; the first has 1
 * @param service service of the upstream
 * @param version version of the upstream's software
 * @param run names the run; no two runs have the same name
 */
record StreamEvent(RequestId stream, int number, String service, String version, String run) {
  /** Returns the event as it is sent. */
  String text() {
    return "id: "
        + number
        + "\ndata: "
        + stream.value()
        + "-"
        + number
        + " "
        + service
        + " "
        + version
        + " "
        + run
        + "\n\n";
  }
}
