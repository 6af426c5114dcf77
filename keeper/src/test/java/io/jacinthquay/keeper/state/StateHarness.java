package io.jacinthquay.keeper.state;

import io.jacinthquay.wire.gen.Command;
import io.jacinthquay.wire.gen.CommandAnswer;
import io.jacinthquay.wire.gen.CommandBody;
import io.jacinthquay.wire.gen.Stamp;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.UnaryOperator;
import org.apache.thrift.TException;

/** Runs encoded commands on a state machine; an injected fault may alter each command. */
final class StateHarness {
  private final UnaryOperator<Command> fault;
  private KeeperState state = new KeeperState(tables -> {});
  private long index;

  StateHarness(UnaryOperator<Command> fault) {
    this.fault = fault;
  }

  static StateHarness withoutFault() {
    return new StateHarness(command -> command);
  }

  CommandAnswer run(Stamp stamp, CommandBody body) {
    Command command = fault.apply(new Command(stamp, body).deepCopy());
    try {
      byte[] answer = state.apply(++index, ThriftCodec.encode(command));
      return ThriftCodec.decode(answer, new CommandAnswer());
    } catch (TException e) {
      throw new IllegalStateException(e);
    }
  }

  CommandAnswer run(long nowMillis, CommandBody body) {
    return run(new Stamp(1, nowMillis, nowMillis), body);
  }

  /** Replaces the state machine by one that is restored from its snapshot. */
  void restart() {
    try {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      state.snapshot().writeTo(bytes);
      KeeperState restored = new KeeperState(tables -> {});
      restored.restore(index, new ByteArrayInputStream(bytes.toByteArray()));
      state = restored;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  Tables tables() {
    return state.tables();
  }
}
