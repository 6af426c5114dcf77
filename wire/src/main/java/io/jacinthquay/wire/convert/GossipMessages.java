package io.jacinthquay.wire.convert;

import io.jacinthquay.decision.membership.DomainSummary;
import io.jacinthquay.decision.membership.GossipMessage;
import io.jacinthquay.decision.membership.GossipPayload;
import io.jacinthquay.decision.membership.LoadUpdate;
import io.jacinthquay.decision.membership.Member;
import io.jacinthquay.decision.membership.MemberLoad;
import io.jacinthquay.decision.membership.MemberState;
import io.jacinthquay.decision.membership.Relay;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.wire.gen.DomainSummaryMessage;
import io.jacinthquay.wire.gen.GossipEnvelope;
import io.jacinthquay.wire.gen.GossipKind;
import io.jacinthquay.wire.gen.GossipPayloadMessage;
import io.jacinthquay.wire.gen.LoadUpdateMessage;
import io.jacinthquay.wire.gen.MemberLoadMessage;
import io.jacinthquay.wire.gen.MemberMessage;
import io.jacinthquay.wire.gen.RelayMessage;

/**
 * Converts membership gossip messages.
 *
 * <p>Converting a malformed message throws {@link IllegalArgumentException} or {@link
 * NullPointerException}.
 */
public final class GossipMessages {
  private GossipMessages() {}

  /** Returns the Thrift message for a gossip message. */
  public static GossipEnvelope toMessage(GossipMessage message) {
    GossipEnvelope envelope = new GossipEnvelope();
    envelope.setSender(message.from().value());
    envelope.setPayload(payload(message.payload()));
    if (message instanceof GossipMessage.Ping m) {
      envelope.setKind(GossipKind.PING);
      envelope.setSequence(m.sequence());
    } else if (message instanceof GossipMessage.Ack m) {
      envelope.setKind(GossipKind.ACK);
      envelope.setSequence(m.sequence());
      envelope.setAbout(m.about().value());
    } else if (message instanceof GossipMessage.PingRequest m) {
      envelope.setKind(GossipKind.PING_REQUEST);
      envelope.setSequence(m.sequence());
      envelope.setAbout(m.target().value());
    } else if (message instanceof GossipMessage.Sync m) {
      envelope.setKind(GossipKind.SYNC);
      envelope.setMember(member(m.self()));
      envelope.setAnswer(m.answer());
    } else {
      envelope.setKind(GossipKind.SUMMARIES);
    }
    return envelope;
  }

  /** Returns the gossip message that a Thrift message carries. */
  public static GossipMessage fromMessage(GossipEnvelope envelope) {
    VmId from = new VmId(envelope.getSender());
    GossipPayload payload = payload(envelope.getPayload());
    return switch (envelope.getKind()) {
      case PING -> new GossipMessage.Ping(from, envelope.getSequence(), payload);
      case ACK ->
          new GossipMessage.Ack(
              from, envelope.getSequence(), new VmId(envelope.getAbout()), payload);
      case PING_REQUEST ->
          new GossipMessage.PingRequest(
              from, envelope.getSequence(), new VmId(envelope.getAbout()), payload);
      case SYNC ->
          new GossipMessage.Sync(member(envelope.getMember()), envelope.isAnswer(), payload);
      default -> new GossipMessage.Summaries(from, payload);
    };
  }

  private static GossipPayloadMessage payload(GossipPayload payload) {
    return new GossipPayloadMessage(
        payload.members().stream().map(GossipMessages::member).toList(),
        payload.loads().stream().map(GossipMessages::load).toList(),
        payload.summaries().stream().map(GossipMessages::summary).toList());
  }

  private static GossipPayload payload(GossipPayloadMessage m) {
    return new GossipPayload(
        m.getMembers().stream().map(GossipMessages::member).toList(),
        m.getLoads().stream().map(GossipMessages::load).toList(),
        m.getSummaries().stream().map(GossipMessages::summary).toList());
  }

  private static MemberMessage member(Member member) {
    return new MemberMessage(
        member.id().value(),
        member.domain().value(),
        member.address(),
        member.incarnation(),
        member.state().name(),
        member.leaving());
  }

  private static Member member(MemberMessage m) {
    return new Member(
        new VmId(m.getId()),
        new DomainId(m.getDomain()),
        m.getAddress(),
        m.getIncarnation(),
        MemberState.valueOf(m.getState()),
        m.isLeaving());
  }

  private static LoadUpdateMessage load(LoadUpdate update) {
    return new LoadUpdateMessage(
        update.id().value(),
        update.incarnation(),
        update.version(),
        update.ageMillis(),
        load(update.load()));
  }

  private static LoadUpdate load(LoadUpdateMessage m) {
    return new LoadUpdate(
        new VmId(m.getId()),
        m.getIncarnation(),
        m.getVersion(),
        m.getAgeMillis(),
        load(m.getLoad()));
  }

  private static MemberLoadMessage load(MemberLoad load) {
    return new MemberLoadMessage(load.running(), load.waiting());
  }

  private static MemberLoad load(MemberLoadMessage m) {
    return new MemberLoad(m.getRunning(), m.getWaiting());
  }

  private static DomainSummaryMessage summary(DomainSummary s) {
    return new DomainSummaryMessage(
        s.domain().value(),
        s.origin().value(),
        s.incarnation(),
        s.version(),
        s.ageMillis(),
        s.live(),
        load(s.load()),
        s.relays().stream().map(r -> new RelayMessage(r.id().value(), r.address())).toList());
  }

  private static DomainSummary summary(DomainSummaryMessage m) {
    return new DomainSummary(
        new DomainId(m.getDomain()),
        new VmId(m.getOrigin()),
        m.getIncarnation(),
        m.getVersion(),
        m.getAgeMillis(),
        m.getLive(),
        load(m.getLoad()),
        m.getRelays().stream().map(r -> new Relay(new VmId(r.getId()), r.getAddress())).toList());
  }
}
