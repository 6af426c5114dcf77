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
 * The state machine behind the keepers' log.
 *
 * <pre>{@code
 * KeeperState state = new KeeperState(tables -> feed.changed());
 * long version = state.tables().config().version();
 * }</pre>
 *
 * <p>The log's thread applies commands; any thread may read {@link #tables()}, which is one
 * consistent, immutable state.
 */
public final class KeeperState implements StateMachine {
  private final StateListener listener;
  private volatile Tables tables = Tables.EMPTY;

  /**
   * Returns an empty state.
   *
   * @param listener hears of every new state
   */
  public KeeperState(StateListener listener) {
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  /** Returns the newest state. */
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
      answer = Answers.failure(ResultCode.BAD_REQUEST, "malformed command: " + e.getMessage());
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
    listener.changed(next);
  }
}
