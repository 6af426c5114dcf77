package io.jacinthquay.wire.convert;

import io.jacinthquay.decision.slots.ClientStamp;
import io.jacinthquay.decision.slots.Completion;
import io.jacinthquay.decision.slots.ConcurrencyLimitHint;
import io.jacinthquay.decision.slots.OwnerStamp;
import io.jacinthquay.decision.slots.SlotDigest;
import io.jacinthquay.decision.slots.SlotId;
import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.decision.slots.SlotRequest;
import io.jacinthquay.decision.slots.SlotScope;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.wire.gen.BearingHintMessage;
import io.jacinthquay.wire.gen.ClientStampMessage;
import io.jacinthquay.wire.gen.OwnerStampMessage;
import io.jacinthquay.wire.gen.ScopeMessage;
import io.jacinthquay.wire.gen.SlotAck;
import io.jacinthquay.wire.gen.SlotAsk;
import io.jacinthquay.wire.gen.SlotCancel;
import io.jacinthquay.wire.gen.SlotDeny;
import io.jacinthquay.wire.gen.SlotDigestMessage;
import io.jacinthquay.wire.gen.SlotGrant;
import io.jacinthquay.wire.gen.SlotIdMessage;
import io.jacinthquay.wire.gen.SlotLeave;
import io.jacinthquay.wire.gen.SlotPreempt;
import io.jacinthquay.wire.gen.SlotProgress;
import io.jacinthquay.wire.gen.SlotRecall;
import io.jacinthquay.wire.gen.SlotRelease;
import io.jacinthquay.wire.gen.SlotRequestMessage;
import io.jacinthquay.wire.gen.SlotResync;
import io.jacinthquay.wire.gen.SlotState;
import io.jacinthquay.wire.gen.SlotSync;
import io.jacinthquay.wire.gen.SlotUse;
import io.jacinthquay.wire.gen.ToClientBody;
import io.jacinthquay.wire.gen.ToClientMessage;
import io.jacinthquay.wire.gen.ToOwnerBody;
import io.jacinthquay.wire.gen.ToOwnerMessage;
import io.jacinthquay.wire.gen.UsedSlotMessage;
import java.util.List;
import java.util.Optional;

/**
 * Converts the messages between routers and slot owners.
 *
 * <p>Converting a malformed message throws {@link IllegalArgumentException} or {@link
 * NullPointerException}.
 */
public final class SlotMessages {
  private SlotMessages() {}

  /** Returns the Thrift message for a message to a slot owner. */
  public static ToOwnerMessage toMessage(SlotMessage.ToOwner message) {
    ClientStamp stamp = message.stamp();
    return new ToOwnerMessage(
        scope(message.scope()),
        new ClientStampMessage(
            stamp.router().value(),
            stamp.incarnation(),
            stamp.sequence(),
            stamp.sentAtNanos(),
            stamp.acknowledgedNanos()),
        body(message));
  }

  private static ToOwnerBody body(SlotMessage.ToOwner message) {
    if (message instanceof SlotMessage.Sync m) {
      return ToOwnerBody.sync(new SlotSync(digest(m.held()), digest(m.waiting()), m.idleTarget()));
    }
    if (message instanceof SlotMessage.State m) {
      return ToOwnerBody.state(state(m));
    }
    if (message instanceof SlotMessage.Ask m) {
      return ToOwnerBody.ask(new SlotAsk(requests(m.requests())));
    }
    if (message instanceof SlotMessage.Use m) {
      return ToOwnerBody.taken(new SlotUse(slot(m.slot()), request(m.request())));
    }
    if (message instanceof SlotMessage.Progress m) {
      return ToOwnerBody.progress(new SlotProgress(slot(m.slot()), m.tokens(), m.expected()));
    }
    if (message instanceof SlotMessage.Release m) {
      return ToOwnerBody.release(release(m));
    }
    if (message instanceof SlotMessage.Cancel m) {
      return ToOwnerBody.cancel(new SlotCancel(m.request().value()));
    }
    return ToOwnerBody.leave(new SlotLeave());
  }

  private static SlotState state(SlotMessage.State m) {
    List<UsedSlotMessage> used =
        m.used().stream()
            .map(
                u ->
                    new UsedSlotMessage(slot(u.slot()), u.upstream().value(), request(u.request())))
            .toList();
    List<SlotIdMessage> idle = m.idle().stream().map(SlotMessages::slot).toList();
    return new SlotState(
        used,
        idle,
        requests(m.waiting()),
        m.idleTarget(),
        m.formerLeaseNanos(),
        m.hints().stream().map(SlotMessages::hint).toList());
  }

  private static SlotRelease release(SlotMessage.Release m) {
    Completion completion = m.completion();
    return new SlotRelease(
        slot(m.slot()),
        completion.end().name(),
        completion.tokens(),
        completion.firstTokenNanos(),
        completion.onTarget());
  }

  /** Returns the Thrift message for a message to a router. */
  public static ToClientMessage toMessage(SlotMessage.ToClient message) {
    OwnerStamp stamp = message.stamp();
    return new ToClientMessage(
        scope(message.scope()),
        new OwnerStampMessage(
            stamp.owner().value(),
            stamp.incarnation(),
            stamp.leaseStartNanos(),
            stamp.leaseNanos(),
            stamp.sentAtNanos()),
        body(message));
  }

  private static ToClientBody body(SlotMessage.ToClient message) {
    if (message instanceof SlotMessage.Grant m) {
      SlotGrant grant = new SlotGrant();
      grant.setSlot(slot(m.slot()));
      grant.setUpstream(m.upstream().value());
      grant.setLag(m.excessTokens());
      grant.setLimit(m.limit());
      grant.setWarming(m.warming());
      m.request().ifPresent(id -> grant.setRequest(id.value()));
      return ToClientBody.grant(grant);
    }
    if (message instanceof SlotMessage.Deny m) {
      return ToClientBody.deny(
          new SlotDeny(m.request().value(), m.code().number(), m.retryAfterNanos()));
    }
    if (message instanceof SlotMessage.Preempt m) {
      return ToClientBody.preempt(new SlotPreempt(slot(m.slot()), m.request().value()));
    }
    if (message instanceof SlotMessage.Recall m) {
      return ToClientBody.recall(new SlotRecall(slot(m.slot())));
    }
    return message instanceof SlotMessage.Ack
        ? ToClientBody.ack(new SlotAck())
        : ToClientBody.resync(new SlotResync());
  }

  /** Returns the message to a slot owner that a Thrift message carries. */
  public static SlotMessage.ToOwner fromMessage(ToOwnerMessage message) {
    SlotScope scope = scope(message.getScope());
    ClientStampMessage stampMessage = message.getStamp();
    ClientStamp stamp =
        new ClientStamp(
            new VmId(stampMessage.getRouter()),
            stampMessage.getIncarnation(),
            stampMessage.getSequence(),
            stampMessage.getSentAtNanos(),
            stampMessage.getHeardNanos());
    ToOwnerBody body = message.getBody();
    return switch (body.getSetField()) {
      case SYNC -> sync(scope, stamp, body.getSync());
      case STATE -> state(scope, stamp, body.getState());
      case ASK -> new SlotMessage.Ask(scope, stamp, requestsOf(body.getAsk().getRequests()));
      case TAKEN ->
          new SlotMessage.Use(
              scope, stamp, slot(body.getTaken().getSlot()), request(body.getTaken().getRequest()));
      case PROGRESS -> progress(scope, stamp, body.getProgress());
      case RELEASE -> release(scope, stamp, body.getRelease());
      case CANCEL ->
          new SlotMessage.Cancel(scope, stamp, new RequestId(body.getCancel().getRequest()));
      default -> new SlotMessage.Leave(scope, stamp);
    };
  }

  private static SlotMessage.Sync sync(SlotScope scope, ClientStamp stamp, SlotSync m) {
    return new SlotMessage.Sync(
        scope, stamp, digest(m.getHeld()), digest(m.getWaiting()), m.getWanted());
  }

  private static SlotMessage.State state(SlotScope scope, ClientStamp stamp, SlotState m) {
    List<SlotMessage.UsedSlot> used =
        m.getUsed().stream()
            .map(
                u ->
                    new SlotMessage.UsedSlot(
                        slot(u.getSlot()),
                        new UpstreamId(u.getUpstream()),
                        request(u.getRequest())))
            .toList();
    return new SlotMessage.State(
        scope,
        stamp,
        used,
        m.getIdle().stream().map(SlotMessages::slot).toList(),
        requestsOf(m.getWaiting()),
        m.getWanted(),
        m.getHints().stream().map(SlotMessages::hint).toList(),
        m.getVouchFreeNanos());
  }

  private static SlotMessage.Progress progress(SlotScope scope, ClientStamp stamp, SlotProgress m) {
    return new SlotMessage.Progress(
        scope, stamp, slot(m.getSlot()), m.getTokens(), m.getExpected());
  }

  private static SlotMessage.Release release(SlotScope scope, ClientStamp stamp, SlotRelease m) {
    Completion completion =
        new Completion(
            Completion.End.valueOf(m.getKind()),
            m.getTokens(),
            m.getFirstTokenNanos(),
            m.isOnTarget());
    return new SlotMessage.Release(scope, stamp, slot(m.getSlot()), completion);
  }

  /** Returns the message to a router that a Thrift message carries. */
  public static SlotMessage.ToClient fromMessage(ToClientMessage message) {
    SlotScope scope = scope(message.getScope());
    OwnerStampMessage stampMessage = message.getStamp();
    OwnerStamp stamp =
        new OwnerStamp(
            new VmId(stampMessage.getOwner()),
            stampMessage.getIncarnation(),
            stampMessage.getBasisNanos(),
            stampMessage.getLeaseNanos(),
            stampMessage.getSentAtNanos());
    ToClientBody body = message.getBody();
    return switch (body.getSetField()) {
      case GRANT -> grant(scope, stamp, body.getGrant());
      case DENY -> deny(scope, stamp, body.getDeny());
      case PREEMPT ->
          new SlotMessage.Preempt(
              scope,
              stamp,
              slot(body.getPreempt().getSlot()),
              new RequestId(body.getPreempt().getRequest()));
      case RECALL -> new SlotMessage.Recall(scope, stamp, slot(body.getRecall().getSlot()));
      case ACK -> new SlotMessage.Ack(scope, stamp);
      default -> new SlotMessage.Resync(scope, stamp);
    };
  }

  private static SlotMessage.Grant grant(SlotScope scope, OwnerStamp stamp, SlotGrant m) {
    return new SlotMessage.Grant(
        scope,
        stamp,
        slot(m.getSlot()),
        new UpstreamId(m.getUpstream()),
        Optional.ofNullable(m.getRequest()).map(RequestId::new),
        m.getLag(),
        m.getLimit(),
        m.isWarming());
  }

  private static SlotMessage.Deny deny(SlotScope scope, OwnerStamp stamp, SlotDeny m) {
    ResultCode code =
        ResultCode.of(m.getCode())
            .orElseThrow(() -> new IllegalArgumentException("unknown result code: " + m.getCode()));
    return new SlotMessage.Deny(
        scope, stamp, new RequestId(m.getRequest()), code, m.getRetryAfterNanos());
  }

  private static ScopeMessage scope(SlotScope scope) {
    return new ScopeMessage(scope.pool().value(), scope.domain().value());
  }

  private static SlotScope scope(ScopeMessage m) {
    return new SlotScope(new PoolName(m.getPool()), new DomainId(m.getDomain()));
  }

  private static SlotIdMessage slot(SlotId id) {
    return new SlotIdMessage(id.owner().value(), id.incarnation(), id.number());
  }

  private static SlotId slot(SlotIdMessage m) {
    return new SlotId(new VmId(m.getOwner()), m.getIncarnation(), m.getNumber());
  }

  private static BearingHintMessage hint(ConcurrencyLimitHint hint) {
    return new BearingHintMessage(
        hint.upstream().value(), hint.limit(), hint.warming(), hint.ageNanos());
  }

  private static ConcurrencyLimitHint hint(BearingHintMessage m) {
    return new ConcurrencyLimitHint(
        new UpstreamId(m.getUpstream()), m.getLimit(), m.isWarming(), m.getAgeNanos());
  }

  private static SlotDigestMessage digest(SlotDigest digest) {
    return new SlotDigestMessage(digest.count(), digest.hash());
  }

  private static SlotDigest digest(SlotDigestMessage m) {
    return new SlotDigest(m.getCount(), m.getHash());
  }

  private static List<SlotRequestMessage> requests(List<SlotRequest> requests) {
    return requests.stream().map(SlotMessages::request).toList();
  }

  private static List<SlotRequest> requestsOf(List<SlotRequestMessage> messages) {
    return messages.stream().map(SlotMessages::request).toList();
  }

  private static SlotRequestMessage request(SlotRequest r) {
    return new SlotRequestMessage(
        r.request().value(),
        r.className().value(),
        r.customer().value(),
        r.slackNanos(),
        r.firstTokenNanos(),
        r.tokens(),
        r.preemptible(),
        r.guaranteed(),
        r.excessTokens(),
        r.preferred().stream().map(UpstreamId::value).toList(),
        r.avoided().stream().map(UpstreamId::value).toList());
  }

  private static SlotRequest request(SlotRequestMessage m) {
    return new SlotRequest(
        new RequestId(m.getRequest()),
        new ClassName(m.getClassName()),
        new CustomerId(m.getCustomer()),
        m.getSlackNanos(),
        m.getFirstTokenNanos(),
        m.getTokens(),
        m.isPreemptible(),
        m.isFirm(),
        m.getLag(),
        m.getPreferred().stream().map(UpstreamId::new).toList(),
        m.getAvoided().stream().map(UpstreamId::new).toList());
  }
}
