package io.jacinthquay.keeper.state;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.wire.gen.ApplyCommand;
import io.jacinthquay.wire.gen.ClaimRequest;
import io.jacinthquay.wire.gen.Command;
import io.jacinthquay.wire.gen.CommandAnswer;
import io.jacinthquay.wire.gen.CommandBody;
import io.jacinthquay.wire.gen.CompleteOrderCommand;
import io.jacinthquay.wire.gen.LeaseProof;
import io.jacinthquay.wire.gen.MarkReportedCommand;
import io.jacinthquay.wire.gen.OrderRecord;
import io.jacinthquay.wire.gen.SealCommand;
import java.util.function.BiFunction;

/** Applies one command to the tables. */
final class CommandRunner {
  private static final long SWEEP_INTERVAL_MILLIS = 60_000;

  private CommandRunner() {}

  /** The tables after a command and the answer to its proposer. */
  record Result(Tables tables, CommandAnswer answer) {}

  static Result run(Tables before, Command command) {
    StateClock clock = before.clock().advance(command.getStamp());
    Tables now = sweep(before.with(clock), before.clock());
    try {
      return dispatch(now, command.getBody());
    } catch (IllegalArgumentException | NullPointerException e) {
      String detail = "malformed command: " + e.getMessage();
      return new Result(now, Answers.failure(ResultCode.BAD_REQUEST, detail));
    }
  }

  private static Tables sweep(Tables now, StateClock last) {
    long before = last.millis() / SWEEP_INTERVAL_MILLIS;
    long after = now.clock().millis() / SWEEP_INTERVAL_MILLIS;
    return after > before ? now.with(now.claims().sweep(now.clock())) : now;
  }

  private static Result dispatch(Tables now, CommandBody body) {
    return switch (body.getSetField()) {
      case APPLY -> apply(now, body.getApply());
      case LEASE -> with(now, now.leases().grant(body.getLease(), now.clock()), Tables::with);
      case RELEASE_LEASE -> with(now, now.leases().release(body.getReleaseLease()), Tables::with);
      case BEGIN_CLAIM -> beginClaim(now, body.getBeginClaim());
      case COMPLETE_CLAIM ->
          with(now, now.claims().complete(body.getCompleteClaim(), now.clock()), Tables::with);
      case RELEASE_CLAIM -> with(now, now.claims().release(body.getReleaseClaim()), Tables::with);
      case SHIP_USAGE -> with(now, now.usage().ship(body.getShipUsage()), Tables::with);
      case SEAL -> seal(now, body.getSeal());
      case MARK_REPORTED -> markReported(now, body.getMarkReported());
      case RECORD_ORDER -> recordOrder(now, body.getRecordOrder());
      case COMPLETE_ORDER -> completeOrder(now, body.getCompleteOrder());
    };
  }

  private static Result apply(Tables now, ApplyCommand command) {
    return with(now, now.config().apply(command, now.clock()), Tables::with);
  }

  private static Result beginClaim(Tables now, ClaimRequest request) {
    return with(now, now.claims().begin(request, now.clock()), Tables::with);
  }

  private static Result seal(Tables now, SealCommand command) {
    boolean held = holds(now, command.getLease());
    return with(now, now.usage().seal(command, held, now.clock()), Tables::with);
  }

  private static Result markReported(Tables now, MarkReportedCommand command) {
    boolean held = holds(now, command.getLease());
    return with(now, now.usage().markReported(command, held), Tables::with);
  }

  private static Result recordOrder(Tables now, OrderRecord order) {
    boolean held = holds(now, new LeaseProof(order.getLease(), order.getFencing()));
    return with(now, now.orders().record(order, held), Tables::with);
  }

  private static Result completeOrder(Tables now, CompleteOrderCommand command) {
    boolean held = holds(now, command.getLease());
    return with(now, now.orders().complete(command, held), Tables::with);
  }

  private static boolean holds(Tables now, LeaseProof proof) {
    return now.leases().proves(proof, now.clock());
  }

  private static <T> Result with(Tables now, Step<T> step, BiFunction<Tables, T, Tables> into) {
    return new Result(into.apply(now, step.table()), step.answer());
  }
}
