package io.jacinthquay.keeper.service;

import io.jacinthquay.consensus.AppliedCommand;
import io.jacinthquay.consensus.ReplicatedLog;
import io.jacinthquay.keeper.state.KeeperState;
import io.jacinthquay.keeper.state.ThriftCodec;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.wire.gen.Command;
import io.jacinthquay.wire.gen.CommandAnswer;
import io.jacinthquay.wire.gen.CommandBody;
import io.jacinthquay.wire.gen.Stamp;
import io.vavr.control.Either;
import java.time.Duration;
import org.apache.thrift.TException;

/**
 * Proposes commands and prepares linearizable reads. Calls block, so they belong on worker threads.
 *
 * <pre>{@code
 * Either<KeeperFailure, CommandAnswer> answer = proposer.propose(CommandBody.apply(command));
 * }</pre>
 */
public final class Proposer {
  private final ReplicatedLog log;
  private final Duration timeout;
  private final LeaderClock clock;

  /**
   * Creates a proposer.
   *
   * @param log the log
   * @param state the state machine of the log
   * @param timeout maximum wait for one command or read
   */
  public Proposer(ReplicatedLog log, KeeperState state, Duration timeout) {
    this.log = log;
    this.timeout = timeout;
    this.clock = new LeaderClock(log, state, System::nanoTime, System::currentTimeMillis, timeout);
  }

  /**
   * Proposes a command and returns the state machine's answer, or a failure. An answer that is
   * itself a failure is returned as a failure.
   */
  public Either<KeeperFailure, CommandAnswer> propose(CommandBody body) {
    return clock.stamp().flatMap(stamp -> propose(stamp, body));
  }

  private Either<KeeperFailure, CommandAnswer> propose(Stamp stamp, CommandBody body) {
    byte[] command = ThriftCodec.encode(new Command(stamp, body));
    return Completions.await(log.propose(command), timeout).flatMap(Proposer::answer);
  }

  private static Either<KeeperFailure, CommandAnswer> answer(AppliedCommand applied) {
    CommandAnswer answer;
    try {
      answer = ThriftCodec.decode(applied.result(), new CommandAnswer());
    } catch (TException e) {
      return Either.left(KeeperFailure.of(Failure.of(ResultCode.INTERNAL, String.valueOf(e))));
    }
    if (!answer.isSetFailure()) {
      return Either.right(answer);
    }
    ResultCode code = ResultCode.of(answer.getFailure().getCode()).orElse(ResultCode.INTERNAL);
    return Either.left(KeeperFailure.of(Failure.of(code, answer.getFailure().getDetail())));
  }

  /** Waits until the local state includes all commands that were committed before the call. */
  public Either<KeeperFailure, Long> readIndex() {
    return Completions.await(log.readIndex(), timeout);
  }
}
