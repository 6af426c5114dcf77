package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.AnswerHead;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.CallerListener;
import io.jacinthquay.router.port.EventThread;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

/** A caller that notes what it is told, and what it must not be told. */
final class RecordedCaller implements Caller {
  private final EventThread thread;
  private final List<String> faults = new ArrayList<>();
  private CallerListener listener;
  private OptionalInt status = OptionalInt.empty();
  private boolean ended;
  private boolean aborted;
  private boolean left;
  private boolean breaksAtWrite;
  private boolean breaking;

  RecordedCaller(EventThread thread) {
    this.thread = thread;
  }

  @Override
  public EventThread thread() {
    return thread;
  }

  @Override
  public void listener(CallerListener newListener) {
    listener = newListener;
  }

  @Override
  public void begin(AnswerHead head, OptionalLong length) {
    check("begin " + head.status());
    if (status.isPresent()) {
      faults.add("a second head, " + head.status());
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
    if (breaksAtWrite && !left) {
      breaking = true;
      leave();
    }
    return true;
  }

  @Override
  public void end() {
    check("end");
    if (status.isEmpty()) {
      faults.add("an end without a head");
    }
    ended = !left;
  }

  @Override
  public void abort() {
    check("abort");
    aborted = true;
  }

  private void check(String what) {
    if (ended || aborted) {
      faults.add(what + " after the final answer");
    }
    if (left && !breaking) {
      faults.add(what + " after the caller left");
    }
  }

  /** Closes the connection from the caller's side. */
  void leave() {
    if (!left && !ended && !aborted && listener != null) {
      left = true;
      listener.onGone();
    }
  }

  /** Lets the connection break when it is written to next. */
  void breakAtWrite() {
    breaksAtWrite = true;
  }

  /** What was written while the connection broke is lost; from now on nothing may be written. */
  void settle() {
    breaking = false;
  }

  /** Returns the status of the answer, if one was begun. */
  OptionalInt status() {
    return status;
  }

  /** Returns whether the request is over for the caller. */
  boolean isOver() {
    return ended || aborted || left;
  }

  /** Returns what went against the contract of an answer. */
  List<String> faults() {
    return faults;
  }

  @Override
  public String toString() {
    String end = ended ? " ended" : aborted ? " aborted" : left ? " left" : " open";
    return (status.isPresent() ? "answer " + status.getAsInt() : "no answer") + end;
  }
}
