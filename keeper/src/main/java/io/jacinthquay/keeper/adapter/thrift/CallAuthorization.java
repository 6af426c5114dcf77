package io.jacinthquay.keeper.adapter.thrift;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.runtime.tls.PeerRole;
import io.jacinthquay.wire.convert.ConfigMessages;
import io.jacinthquay.wire.gen.CallFailed;
import java.util.Arrays;

/** Decides which calls an authenticated peer may make. */
record CallAuthorization(PeerIdentity peer) {

  /**
   * Checks that the peer has one of the roles.
   *
   * @throws CallFailed with {@link ResultCode#NOT_AUTHORISED} if it has none of them
   */
  void requireRole(PeerRole... roles) throws CallFailed {
    if (!Arrays.asList(roles).contains(peer.role())) {
      String detail = "the role " + peer.role().text() + " may not make this call";
      throw ConfigMessages.toMessage(Failure.of(ResultCode.NOT_AUTHORISED, detail));
    }
  }

  /**
   * Checks that an identity is the name of the peer, alone or followed by a slash and an
   * incarnation.
   *
   * @throws CallFailed with {@link ResultCode#NOT_AUTHORISED} if the identity belongs to another
   *     peer
   */
  void requireOwnIdentity(String identity) throws CallFailed {
    boolean own =
        identity != null
            && (identity.equals(peer.name()) || identity.startsWith(peer.name() + "/"));
    if (!own) {
      String detail = identity + " does not belong to " + peer.name();
      throw ConfigMessages.toMessage(Failure.of(ResultCode.NOT_AUTHORISED, detail));
    }
  }
}
