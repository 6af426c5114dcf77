package io.jacinthquay.standalone;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.model.policy.EntityKey;
import io.jacinthquay.model.policy.EntityKind;
import io.jacinthquay.model.policy.PolicyDiff;
import io.jacinthquay.model.policy.PolicyDocument;
import io.jacinthquay.model.policy.PolicyParser;
import io.jacinthquay.wire.client.KeeperClient;
import io.jacinthquay.wire.convert.ConfigMessages;
import io.jacinthquay.wire.gen.ApplyRequest;
import io.jacinthquay.wire.gen.EditMessage;
import io.jacinthquay.wire.gen.Keeper;
import io.jacinthquay.wire.gen.KeeperStatus;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.UUID;

/** Performs the tasks of an operator: applies a policy, and issues and withdraws keys. */
final class OperatorSession {
  private static final int KEY_BYTES = 24;
  private static final long ANY_VERSION = -1;
  private static final int CONFIRM_MILLIS = 0;

  private final KeeperClient keepers;

  OperatorSession(KeeperClient keepers) {
    this.keepers = keepers;
  }

  /**
   * Applies the embedded policy if no configuration is in force yet.
   *
   * @throws IllegalStateException if the call to the keeper fails
   */
  void applyEmbeddedPolicy() {
    KeeperStatus status =
        keepers.call(Keeper.Iface::status).getOrElseThrow(OperatorSession::toException);
    if (status.getConfigVersion() == 0) {
      PolicyDocument document = PolicyParser.parse(embeddedPolicy()).get();
      apply(PolicyDiff.between(Map.of(), document.entities()), 0);
    }
  }

  private static IllegalStateException toException(Failure failure) {
    return new IllegalStateException(failure.code().number() + " " + failure.detail());
  }

  private static String embeddedPolicy() {
    try (InputStream in = OperatorSession.class.getResourceAsStream("/policy.json")) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Issues a key and returns it.
   *
   * @throws IllegalStateException if the call to the keeper fails
   */
  String issueKey(String customer) {
    byte[] secret = new byte[KEY_BYTES];
    new SecureRandom().nextBytes(secret);
    String key = "jq-" + Base64.getUrlEncoder().withoutPadding().encodeToString(secret);
    EntityKey entityKey = new EntityKey(EntityKind.KEY, KeyDigest.ofKey(key).hex());
    apply(List.of(EntityEdit.set(entityKey, "{\"customer\":\"" + customer + "\"}")), ANY_VERSION);
    return key;
  }

  /**
   * Withdraws a key.
   *
   * @throws IllegalStateException if the call to the keeper fails
   */
  void withdrawKey(String customer, String key) {
    EntityKey entityKey = new EntityKey(EntityKind.KEY, KeyDigest.ofKey(key).hex());
    String json = "{\"customer\":\"" + customer + "\",\"withdrawn\":true}";
    apply(List.of(EntityEdit.set(entityKey, json)), ANY_VERSION);
  }

  private void apply(List<EntityEdit> edits, long expectedVersion) {
    List<EditMessage> messages = edits.stream().map(ConfigMessages::toMessage).toList();
    ApplyRequest request =
        new ApplyRequest(UUID.randomUUID().toString(), expectedVersion, messages, CONFIRM_MILLIS);
    keepers.call(keeper -> keeper.apply(request)).getOrElseThrow(OperatorSession::toException);
  }
}
