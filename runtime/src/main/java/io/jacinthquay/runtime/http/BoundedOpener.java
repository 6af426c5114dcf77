package io.jacinthquay.runtime.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Opens connections on an I/O thread and installs a {@link BoundedSource} on each.
 *
 * <p>Undertow's client takes an I/O thread and doesn't expose the connections that it opens on it,
 * so this class wraps the thread and delegates to it. This thread itself is never started.
 */
public final class BoundedOpener extends XnioIoThread {
  private final XnioIoThread delegate;
  private final AnswerMemory memory;
  private BoundedSource latestSource;

  /**
   * Returns an opener of connections on a thread.
   *
   * @param memory for the heads and trailers of the responses on these connections
   */
  public BoundedOpener(XnioIoThread delegate, AnswerMemory memory) {
    super(delegate.getWorker(), delegate.getNumber());
    this.delegate = delegate;
    this.memory = memory;
  }

  /** Returns the source of the connection that was opened last; valid in its open callback. */
  public BoundedSource latestSource() {
    return latestSource;
  }

  @Override
  public IoFuture<StreamConnection> openStreamConnection(
      SocketAddress destination,
      ChannelListener<? super StreamConnection> opened,
      OptionMap options) {
    return delegate.openStreamConnection(
        destination,
        connection -> {
          latestSource = BoundedSource.of(connection, memory);
          opened.handleEvent(connection);
        },
        options);
  }

  @Override
  public void execute(Runnable command) {
    delegate.execute(command);
  }

  @Override
  public Key executeAfter(Runnable command, long time, TimeUnit unit) {
    return delegate.executeAfter(command, time, unit);
  }

  @Override
  public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
    return delegate.executeAtInterval(command, time, unit);
  }
}
