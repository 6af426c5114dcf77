package io.jacinthquay.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jacinthquay.keeper.KeeperOptions;
import io.jacinthquay.keeper.KeeperService;
import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.runtime.tls.TlsIdentity;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the command line against a running keeper. */
final class CtlMainTest {
  private static final String POLICY =
      """
      {
        "domains": [{"name": "casablanca-a", "region": "maroc"}],
        "classes": [{"name": "quick", "tier": 0, "first_token_ms": 350}],
        "customers": [{"name": "atlas", "default_class": "quick"}]
      }
      """;

  @TempDir Path folder;
  private KeeperService keeper;
  private Map<String, String> environment;
  private String out;
  private String err;

  @BeforeEach
  void start() throws IOException {
    Path tls = folder.resolve("tls");
    environment = Map.of();
    assertEquals(
        ExitCode.OK, run("tls-init", "--out", tls.toString(), "k1=keeper", "ops=operator"));
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    TlsIdentity identity = TlsIdentity.load(tls.resolve("k1"));
    keeper =
        new KeeperService(
            KeeperOptions.withoutPeers("k1", anyPort, folder.resolve("data"), identity));
    keeper.start();
    environment =
        Map.of("JQ_KEEPERS", "127.0.0.1:" + keeper.port(), "JQ_TLS", tls.resolve("ops").toString());
  }

  @AfterEach
  void stop() {
    keeper.stop();
  }

  private ExitCode run(String... args) {
    ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
    ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
    ExitCode exitCode =
        CtlMain.run(
            args,
            environment,
            new PrintStream(outBytes, true, StandardCharsets.UTF_8),
            new PrintStream(errBytes, true, StandardCharsets.UTF_8));
    out = outBytes.toString(StandardCharsets.UTF_8);
    err = errBytes.toString(StandardCharsets.UTF_8);
    return exitCode;
  }

  private JsonNode json() throws IOException {
    return new ObjectMapper().readTree(out);
  }

  private String writeFile(String text) throws IOException {
    return Files.writeString(Files.createTempFile(folder, "policy", ".json"), text).toString();
  }

  private ExitCode apply(String text, int expect, String changeId) throws IOException {
    String file = writeFile(text);
    String expected = String.valueOf(expect);
    return run("--json", "apply", "--file", file, "--expect", expected, "--change-id", changeId);
  }

  @Test
  void retryReturnsTheSameResultAndConflictingChangeIsRejected() throws IOException {
    assertEquals(ExitCode.OK, apply(POLICY, 0, "a"));
    assertFalse(json().get("resent").asBoolean());
    assertEquals(ExitCode.OK, run("domain", "out", "casablanca-a"));

    assertEquals(ExitCode.OK, apply(POLICY, 0, "a"));
    assertEquals(1, json().get("version").asInt());
    assertTrue(json().get("resent").asBoolean());
    assertEquals(ExitCode.REFUSED, apply(POLICY.replace("350", "400"), 0, "a"));
    assertTrue(err.contains("2002 "), err);
    assertEquals(ExitCode.REFUSED, apply(POLICY.replace("350", "400"), 1, "b"));
    assertTrue(err.contains("2001 "), err);
  }

  @Test
  void documentErrorsContainLineAndColumn() throws IOException {
    ExitCode exitCode = apply(POLICY.replace("350", "-1"), 0, "a");

    assertEquals(ExitCode.REFUSED, exitCode);
    assertTrue(err.matches("(?s)2000 .*policy.*\\.json:3:\\d+: /classes/0.*"), err);
  }

  @Test
  void keysAreIssuedRotatedAndWithdrawn() throws IOException {
    apply(POLICY, 0, "a");
    assertEquals(ExitCode.OK, run("--json", "key", "issue", "--customer", "atlas"));
    JsonNode issued = new ObjectMapper().readTree(out.lines().skip(1).findFirst().orElseThrow());
    String key = issued.get("key").asText();
    String digest = issued.get("digest").asText();

    assertEquals(ExitCode.OK, run("key", "rotate", "--digest", digest));
    assertEquals(ExitCode.OK, run("--json", "show", "--section", "keys"));
    assertFalse(out.contains(key), "the keepers must not receive a key");
    JsonNode entities = json().get("entities");
    assertEquals(2, entities.size());
    for (JsonNode entity : entities) {
      boolean withdrawn = entity.get("name").asText().equals(digest);
      assertEquals(withdrawn, entity.get("entity").path("withdrawn").asBoolean());
    }
    assertEquals(ExitCode.REFUSED, run("key", "withdraw", "--digest", "0".repeat(64)));
    assertTrue(err.contains("2006 "), err);
  }

  @Test
  void statesDiffHistoryAndStatusAreShown() throws IOException {
    apply(POLICY, 0, "a");
    assertEquals(ExitCode.OK, run("drain", "entry-3"));
    assertEquals(ExitCode.OK, run("domain", "out", "casablanca-a"));
    assertEquals(ExitCode.OK, run("domain", "in", "casablanca-a"));
    assertEquals(ExitCode.REFUSED, run("domain", "out", "atlantis"));

    run("show");
    assertTrue(out.contains("entry-3"), out);
    assertFalse(out.contains("domain_states"), out);
    run("--json", "diff", "--file", writeFile(POLICY.replace("350", "400")));
    assertEquals("change", json().at("/edits/0/action").asText());
    run("--json", "history", "--limit", "2");
    assertEquals(4, json().at("/changes/0/version").asInt());
    run("--json", "status");
    assertEquals("leader", json().get("role").asText());
    assertEquals(ExitCode.OK, run("usage"));
  }

  @ParameterizedTest
  @CsvSource({"nonsense", "key", "''", "apply"})
  void invalidArgumentsAreRejected(String command) {
    assertEquals(
        ExitCode.SETTINGS_INVALID, run(command.isEmpty() ? new String[0] : new String[] {command}));
    assertTrue(err.contains("2013 "), err);
  }

  @Test
  void unreachableKeepersGiveAnUnknownOutcome() {
    keeper.stop();

    assertEquals(ExitCode.UNKNOWN, run("--timeout-ms", "300", "status"));
    assertTrue(err.contains("2004 "), err);
  }
}
