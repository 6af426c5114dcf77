package io.jacinthquay.runtime.http;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.WriteReadyHandler;

/**
 * Closes a connection whose listener throws; XNIO by itself only logs that, which leaves the
 * connection open without an answer.
 */
public final class ListenerGuard {
  private static final Logger log = LogManager.getLogger();

  private ListenerGuard() {}

  /** Guards the read and write listeners of a connection; to be called before they are set. */
  public static void install(StreamConnection connection) {
    connection.getSourceChannel().getConduit().setReadReadyHandler(reader(connection));
    connection.getSinkChannel().getConduit().setWriteReadyHandler(writer(connection));
  }

  /** Runs a listener; if it throws, logs that and runs the given action. */
  public static void run(Runnable listener, Runnable onFault) {
    try {
      listener.run();
    } catch (RuntimeException | Error e) {
      log.warn("a listener failed; its connection is closed", e);
      onFault.run();
    }
  }

  private static <C> void invoke(
      StreamConnection connection, C channel, ChannelListener<? super C> listener) {
    run(() -> listener.handleEvent(channel), () -> IoUtils.safeClose(connection));
  }

  /** Returns a handler that runs the read listener of a connection. */
  public static ReadReadyHandler reader(StreamConnection connection) {
    ConduitStreamSourceChannel channel = connection.getSourceChannel();
    ReadReadyHandler unguarded = new ReadReadyHandler.ChannelListenerHandler<>(channel);
    return new ReadReadyHandler() {
      @Override
      public void readReady() {
        ChannelListener<? super ConduitStreamSourceChannel> listener = channel.getReadListener();
        if (listener == null) {
          channel.suspendReads();
        } else {
          invoke(connection, channel, listener);
        }
      }

      @Override
      public void forceTermination() {
        unguarded.forceTermination();
      }

      @Override
      public void terminated() {
        unguarded.terminated();
      }
    };
  }

  private static WriteReadyHandler writer(StreamConnection connection) {
    ConduitStreamSinkChannel channel = connection.getSinkChannel();
    WriteReadyHandler unguarded = new WriteReadyHandler.ChannelListenerHandler<>(channel);
    return new WriteReadyHandler() {
      @Override
      public void writeReady() {
        ChannelListener<? super ConduitStreamSinkChannel> listener = channel.getWriteListener();
        if (listener == null) {
          channel.suspendWrites();
        } else {
          invoke(connection, channel, listener);
        }
      }

      @Override
      public void forceTermination() {
        unguarded.forceTermination();
      }

      @Override
      public void terminated() {
        unguarded.terminated();
      }
    };
  }
}
