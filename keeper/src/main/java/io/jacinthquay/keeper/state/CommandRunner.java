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

/** Applies a command to the tables. */
final class CommandRunner {
  private static final long SWEEP_INTERVAL_MILLIS = 60_000;

  private CommandRunner() {}

  /** The tables after a command and the answer to its proposer. */
  record Result(Tables tables, CommandAnswer answer) {}

  static Result run(Tables before, Command command) {
    StateClock clock = before.clock().advance(command.getStamp());
    Tables tables = sweep(before.with(clock), before.clock());
    try {
      return dispatch(tables, command.getBody());
    } catch (IllegalArgumentException | NullPointerException e) {
      String detail = "malformed command: " + e.getMessage();
      return new Result(tables, CommandAnswers.failure(ResultCode.BAD_REQUEST, detail));
    }
  }

  private static Tables sweep(Tables tables, StateClock previous) {
    long previousInterval = previous.millis() / SWEEP_INTERVAL_MILLIS;
    long currentInterval = tables.clock().millis() / SWEEP_INTERVAL_MILLIS;
    return currentInterval > previousInterval
        ? tables.with(tables.claims().sweep(tables.clock()))
        : tables;
  }

  private static Result dispatch(Tables tables, CommandBody body) {
    return switch (body.getSetField()) {
      case APPLY -> apply(tables, body.getApply());
      case LEASE ->
          toResult(tables, tables.leases().grant(body.getLease(), tables.clock()), Tables::with);
      case RELEASE_LEASE ->
          toResult(tables, tables.leases().release(body.getReleaseLease()), Tables::with);
      case BEGIN_CLAIM -> beginClaim(tables, body.getBeginClaim());
      case COMPLETE_CLAIM ->
          toResult(
              tables,
              tables.claims().complete(body.getCompleteClaim(), tables.clock()),
              Tables::with);
      case RELEASE_CLAIM ->
          toResult(tables, tables.claims().release(body.getReleaseClaim()), Tables::with);
      case SHIP_USAGE -> toResult(tables, tables.usage().ship(body.getShipUsage()), Tables::with);
      case SEAL -> seal(tables, body.getSeal());
      case MARK_REPORTED -> markReported(tables, body.getMarkReported());
      case RECORD_ORDER -> recordOrder(tables, body.getRecordOrder());
      case COMPLETE_ORDER -> completeOrder(tables, body.getCompleteOrder());
    };
  }

  private static Result apply(Tables tables, ApplyCommand command) {
    return toResult(tables, tables.config().apply(command, tables.clock()), Tables::with);
  }

  private static Result beginClaim(Tables tables, ClaimRequest request) {
    return toResult(tables, tables.claims().begin(request, tables.clock()), Tables::with);
  }

  private static Result seal(Tables tables, SealCommand command) {
    boolean leaseHeld = holdsLease(tables, command.getLease());
    return toResult(tables, tables.usage().seal(command, leaseHeld, tables.clock()), Tables::with);
  }

  private static Result markReported(Tables tables, MarkReportedCommand command) {
    boolean leaseHeld = holdsLease(tables, command.getLease());
    return toResult(tables, tables.usage().markReported(command, leaseHeld), Tables::with);
  }

  private static Result recordOrder(Tables tables, OrderRecord order) {
    boolean leaseHeld = holdsLease(tables, new LeaseProof(order.getLease(), order.getFencing()));
    return toResult(tables, tables.orders().record(order, leaseHeld), Tables::with);
  }

  private static Result completeOrder(Tables tables, CompleteOrderCommand command) {
    boolean leaseHeld = holdsLease(tables, command.getLease());
    return toResult(tables, tables.orders().complete(command, leaseHeld), Tables::with);
  }

  private static boolean holdsLease(Tables tables, LeaseProof proof) {
    return tables.leases().isHeldBy(proof, tables.clock());
  }

  private static <T> Result toResult(
      Tables tables, TableUpdate<T> update, BiFunction<Tables, T, Tables> setter) {
    return new Result(setter.apply(tables, update.table()), update.answer());
  }
}
