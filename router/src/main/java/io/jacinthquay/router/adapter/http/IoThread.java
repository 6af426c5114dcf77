package io.jacinthquay.router.adapter.http;

import io.jacinthquay.router.port.EventThread;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** An I/O thread of the server, as an {@link EventThread}. */
record IoThread(XnioIoThread thread) implements EventThread {
  @Override
  public Runnable after(long delayMillis, Runnable task) {
    XnioExecutor.Key key = thread.executeAfter(task, delayMillis, TimeUnit.MILLISECONDS);
    return key::remove;
  }

  @Override
  public void execute(Runnable task) {
    thread.execute(task);
  }
}
