package io.jacinthquay.keeper.adapter.thrift;

import static io.jacinthquay.runtime.tls.PeerRole.CONTROLLER;
import static io.jacinthquay.runtime.tls.PeerRole.OPERATOR;
import static io.jacinthquay.runtime.tls.PeerRole.ROUTER;

import io.jacinthquay.keeper.service.KeeperCore;
import io.jacinthquay.keeper.service.KeeperFailure;
import io.jacinthquay.keeper.state.Tables;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.wire.convert.ConfigMessages;
import io.jacinthquay.wire.gen.ApplyAnswer;
import io.jacinthquay.wire.gen.ApplyCommand;
import io.jacinthquay.wire.gen.ApplyRequest;
import io.jacinthquay.wire.gen.ApplyResult;
import io.jacinthquay.wire.gen.CallFailed;
import io.jacinthquay.wire.gen.ClaimAnswer;
import io.jacinthquay.wire.gen.ClaimRequest;
import io.jacinthquay.wire.gen.ClaimResult;
import io.jacinthquay.wire.gen.CommandAnswer;
import io.jacinthquay.wire.gen.CommandBody;
import io.jacinthquay.wire.gen.CompleteClaimCommand;
import io.jacinthquay.wire.gen.CompleteOrderCommand;
import io.jacinthquay.wire.gen.ConfigPage;
import io.jacinthquay.wire.gen.FeedPosition;
import io.jacinthquay.wire.gen.HistoryLine;
import io.jacinthquay.wire.gen.Keeper;
import io.jacinthquay.wire.gen.KeeperStatus;
import io.jacinthquay.wire.gen.LeaseCommand;
import io.jacinthquay.wire.gen.LeaseGrant;
import io.jacinthquay.wire.gen.LeaseProof;
import io.jacinthquay.wire.gen.MarkReportedCommand;
import io.jacinthquay.wire.gen.OrderRecord;
import io.jacinthquay.wire.gen.ReleaseLeaseCommand;
import io.jacinthquay.wire.gen.SealCommand;
import io.jacinthquay.wire.gen.SealedWindow;
import io.jacinthquay.wire.gen.ShipUsageCommand;
import io.jacinthquay.wire.gen.UsageCounter;
import io.vavr.control.Either;
import java.util.List;

/** Serves the calls of one authenticated peer. */
public final class KeeperHandler implements Keeper.Iface {
  /** Maximum time that a change waits for readers, in milliseconds. */
  private static final int MAX_CONFIRM_MILLIS = 60_000;

  /** Maximum number of items in one page. */
  private static final int MAX_PAGE_ITEMS = 10_000;

  private final KeeperCore core;
  private final CallAuthorization authorization;

  /**
   * Creates a handler.
   *
   * @param core the components of the keeper
   * @param peer the peer whose calls are served
   */
  public KeeperHandler(KeeperCore core, PeerIdentity peer) {
    this.core = core;
    this.authorization = new CallAuthorization(peer);
  }

  @Override
  public ConfigPage changes(FeedPosition position, int waitMillis) throws CallFailed {
    authorization.requireRole(ROUTER, CONTROLLER, OPERATOR);
    return core.feed().changes(position, waitMillis);
  }

  @Override
  public ApplyAnswer apply(ApplyRequest request) throws CallFailed {
    authorization.requireRole(OPERATOR);
    ApplyCommand command =
        new ApplyCommand(
            request.getChangeId(),
            request.getExpectedVersion(),
            request.getEdits(),
            authorization.peer().name());
    command.setContentDigest(request.getContentDigest());
    ApplyResult result = propose(CommandBody.apply(command)).getApplied();
    int waitMillis = Math.min(request.getConfirmMillis(), MAX_CONFIRM_MILLIS);
    return core.confirmations().await(result.getVersion(), waitMillis).setResent(result.isResent());
  }

  @Override
  public List<HistoryLine> history(int limit) throws CallFailed {
    authorization.requireRole(OPERATOR);
    return readTables().config().history(Math.min(limit, MAX_PAGE_ITEMS));
  }

  @Override
  public LeaseGrant acquireLease(String name, String holder, long lengthMillis) throws CallFailed {
    return lease(new LeaseCommand(name, holder, lengthMillis));
  }

  @Override
  public LeaseGrant renewLease(String name, String holder, long fencing, long lengthMillis)
      throws CallFailed {
    return lease(new LeaseCommand(name, holder, lengthMillis).setFencing(fencing));
  }

  private LeaseGrant lease(LeaseCommand command) throws CallFailed {
    authorization.requireRole(CONTROLLER);
    authorization.requireOwnIdentity(command.getHolder());
    return propose(CommandBody.lease(command)).getLease();
  }

  @Override
  public void releaseLease(String name, String holder, long fencing) throws CallFailed {
    authorization.requireRole(CONTROLLER);
    authorization.requireOwnIdentity(holder);
    proposeDone(CommandBody.releaseLease(new ReleaseLeaseCommand(name, holder, fencing)));
  }

  @Override
  public ClaimAnswer beginClaim(ClaimRequest request) throws CallFailed {
    requireClaimant(request);
    return propose(CommandBody.beginClaim(request)).getClaim();
  }

  @Override
  public void completeClaim(ClaimRequest request, ClaimResult result) throws CallFailed {
    requireClaimant(request);
    proposeDone(CommandBody.completeClaim(new CompleteClaimCommand(request, result)));
  }

  @Override
  public void releaseClaim(ClaimRequest request) throws CallFailed {
    requireClaimant(request);
    proposeDone(CommandBody.releaseClaim(request));
  }

  private void requireClaimant(ClaimRequest request) throws CallFailed {
    authorization.requireRole(ROUTER);
    authorization.requireOwnIdentity(request.getClaimant());
  }

  @Override
  public void shipUsage(List<UsageCounter> counters) throws CallFailed {
    authorization.requireRole(ROUTER);
    if (!counters.isEmpty()) {
      proposeDone(CommandBody.shipUsage(new ShipUsageCommand(counters)));
    }
  }

  @Override
  public SealedWindow sealWindow(int shard, long windowStartMillis, String lease, long fencing)
      throws CallFailed {
    authorization.requireRole(CONTROLLER);
    SealCommand command = new SealCommand(shard, windowStartMillis, new LeaseProof(lease, fencing));
    return propose(CommandBody.seal(command)).getWindow();
  }

  @Override
  public List<SealedWindow> sealedWindows(int shard, boolean unreportedOnly, int limit)
      throws CallFailed {
    authorization.requireRole(CONTROLLER, OPERATOR);
    return readTables().usage().windows(shard, unreportedOnly, Math.min(limit, MAX_PAGE_ITEMS));
  }

  @Override
  public void markReported(int shard, long windowStartMillis, String lease, long fencing)
      throws CallFailed {
    authorization.requireRole(CONTROLLER);
    MarkReportedCommand command =
        new MarkReportedCommand(shard, windowStartMillis, new LeaseProof(lease, fencing));
    proposeDone(CommandBody.markReported(command));
  }

  @Override
  public List<UsageCounter> openUsage() throws CallFailed {
    authorization.requireRole(CONTROLLER, OPERATOR);
    return readTables().usage().pending();
  }

  @Override
  public void recordOrder(OrderRecord order) throws CallFailed {
    authorization.requireRole(CONTROLLER);
    proposeDone(CommandBody.recordOrder(order));
  }

  @Override
  public void completeOrder(String orderId, String lease, long fencing) throws CallFailed {
    authorization.requireRole(CONTROLLER);
    CompleteOrderCommand command =
        new CompleteOrderCommand(orderId, new LeaseProof(lease, fencing));
    proposeDone(CommandBody.completeOrder(command));
  }

  @Override
  public List<OrderRecord> openOrders(String domain) throws CallFailed {
    authorization.requireRole(CONTROLLER, OPERATOR);
    return readTables().orders().openIn(domain);
  }

  @Override
  public KeeperStatus status() {
    return core.status();
  }

  private Tables readTables() throws CallFailed {
    orThrow(core.proposer().readIndex());
    return core.tables();
  }

  private CommandAnswer propose(CommandBody body) throws CallFailed {
    return orThrow(core.proposer().propose(body));
  }

  private void proposeDone(CommandBody body) throws CallFailed {
    orThrow(core.proposer().propose(body).map(CommandAnswer::isSetDone));
  }

  @SuppressWarnings("CheckReturnValue")
  private static <T> T orThrow(Either<KeeperFailure, T> result) throws CallFailed {
    if (result.isLeft()) {
      KeeperFailure failure = result.getLeft();
      CallFailed exception = ConfigMessages.toMessage(failure.failure());
      failure.leader().ifPresent(exception::setLeader);
      throw exception;
    }
    return result.get();
  }
}
