package io.jacinthquay.keeper.state;

import io.jacinthquay.consensus.SnapshotWriter;
import io.jacinthquay.consensus.StateMachine;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.wire.gen.Command;
import io.jacinthquay.wire.gen.CommandAnswer;
import java.io.IOException;
import java.io.InputStream;
import java.util.Objects;
import org.apache.thrift.TException;

/**
 * The replicated state machine of the keepers.
 *
 * <pre>{@code
 * KeeperState state = new KeeperState(tables -> feed.changed());
 * long version = state.tables().config().version();
 * }</pre>
 *
 * <p>Commands are applied on the log's thread. Any thread may call {@link #tables()}, which returns
 * a consistent, immutable state.
 */
public final class KeeperState implements StateMachine {
  private final StateListener listener;
  private volatile Tables tables = Tables.EMPTY;

  /**
   * Creates an empty state.
   *
   * @param listener called with every new state
   */
  public KeeperState(StateListener listener) {
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  /** Returns the current state. */
  public Tables tables() {
    return tables;
  }

  @Override
  public byte[] apply(long index, byte[] command) {
    CommandAnswer answer;
    try {
      CommandRunner.Result result =
          CommandRunner.run(tables, ThriftCodec.decode(command, new Command()));
      replace(result.tables());
      answer = result.answer();
    } catch (TException e) {
      answer =
          CommandAnswers.failure(ResultCode.BAD_REQUEST, "malformed command: " + e.getMessage());
    }
    return ThriftCodec.encode(answer);
  }

  @Override
  public SnapshotWriter snapshot() {
    Tables captured = tables;
    return out -> SnapshotCodec.write(captured, out);
  }

  @Override
  public void restore(long index, InputStream in) throws IOException {
    replace(SnapshotCodec.read(in));
  }

  private void replace(Tables next) {
    tables = next;
    listener.onStateChange(next);
  }
}
