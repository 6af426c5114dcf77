package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.CallerListener;
import io.jacinthquay.router.port.DisconnectReason;
import io.jacinthquay.router.port.EventThread;
import io.jacinthquay.router.port.ResponseHead;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

/** A caller that records its answer and any violation of the answer's contract. */
final class RecordingCaller implements Caller {
  private final EventThread thread;
  private final List<String> violations = new ArrayList<>();
  private CallerListener listener;
  private OptionalInt status = OptionalInt.empty();
  private boolean ended;
  private boolean aborted;
  private boolean disconnected;
  private boolean breaksAtWrite;
  private boolean breaking;

  RecordingCaller(EventThread thread) {
    this.thread = thread;
  }

  @Override
  public EventThread thread() {
    return thread;
  }

  @Override
  public void setListener(CallerListener newListener) {
    listener = newListener;
  }

  @Override
  public void begin(ResponseHead head, OptionalLong length) {
    check("begin " + head.status());
    if (status.isPresent()) {
      violations.add("a second head, " + head.status());
    }
    status = OptionalInt.of(head.status());
  }

  @Override
  public boolean hasBegun() {
    return status.isPresent();
  }

  @Override
  public boolean write(ByteBuffer data) {
    check("write");
    if (breaksAtWrite && !disconnected) {
      breaking = true;
      leave();
    }
    return true;
  }

  @Override
  public void end() {
    check("end");
    if (status.isEmpty()) {
      violations.add("an end without a head");
    }
    ended = !disconnected;
  }

  @Override
  public void abort() {
    check("abort");
    aborted = true;
  }

  private void check(String operation) {
    if (ended || aborted) {
      violations.add(operation + " after the final answer");
    }
    if (disconnected && !breaking) {
      violations.add(operation + " after the caller left");
    }
  }

  /** Closes the connection from the caller's side. */
  void leave() {
    if (!disconnected && !ended && !aborted && listener != null) {
      disconnected = true;
      listener.onDisconnect(DisconnectReason.CALLER_LEFT);
    }
  }

  /** Makes the connection break on the next write. */
  void breakAtWrite() {
    breaksAtWrite = true;
  }

  /** Ends the tolerance for writes during a break; later writes are violations. */
  void endBreak() {
    breaking = false;
  }

  /** Returns the status of the answer, if it has begun. */
  OptionalInt status() {
    return status;
  }

  /** Returns whether the request has ended for the caller. */
  boolean isOver() {
    return ended || aborted || disconnected;
  }

  /** Returns the violations of the answer's contract. */
  List<String> violations() {
    return violations;
  }

  @Override
  public String toString() {
    String end = ended ? " ended" : aborted ? " aborted" : disconnected ? " left" : " open";
    return (status.isPresent() ? "answer " + status.getAsInt() : "no answer") + end;
  }
}
