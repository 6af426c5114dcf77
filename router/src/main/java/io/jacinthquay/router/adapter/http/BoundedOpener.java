package io.jacinthquay.router.adapter.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Opens connections on an I/O thread with a {@link BoundedSource} each.
 *
 * <p>Undertow's client takes a thread and hides the connections that it opens there, so this stands
 * in for the thread; it is never started.
 */
final class BoundedOpener extends XnioIoThread {
  private final XnioIoThread thread;
  private BoundedSource newest;

  BoundedOpener(XnioIoThread thread) {
    super(thread.getWorker(), thread.getNumber());
    this.thread = thread;
  }

  /** Returns the source of the connection whose opening is being reported. */
  BoundedSource newest() {
    return newest;
  }

  @Override
  public IoFuture<StreamConnection> openStreamConnection(
      SocketAddress destination,
      ChannelListener<? super StreamConnection> opened,
      OptionMap options) {
    return thread.openStreamConnection(
        destination,
        connection -> {
          newest = BoundedSource.of(connection);
          opened.handleEvent(connection);
        },
        options);
  }

  @Override
  public void execute(Runnable command) {
    thread.execute(command);
  }

  @Override
  public Key executeAfter(Runnable command, long time, TimeUnit unit) {
    return thread.executeAfter(command, time, unit);
  }

  @Override
  public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
    return thread.executeAtInterval(command, time, unit);
  }
}
