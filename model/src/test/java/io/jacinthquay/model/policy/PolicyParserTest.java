package io.jacinthquay.model.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.ConfigVersion;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests parsing, validation and versioning of the policy document. */
class PolicyParserTest {
  private static final String VALID =
      """
      {
        "domains": [{"name": "a", "region": "r"}],
        "classes": [
          {"name": "quick", "tier": 0, "first_token_ms": 350}
        ],
        "pools": [{"name": "engines", "kind": "engine"}],
        "models": [{"name": "m", "pool": "engines"}],
        "customers": [{"name": "c", "default_class": "quick"}],
        "routes": [
          {"name": "t", "prefix": "/t", "pool": "engines", "methods": ["GET"]}
        ]
      }
      """;

  @Test
  void parsesEntitiesOfAValidDocument() {
    PolicyDocument document = PolicyParser.parse(VALID).get();
    assertEquals(6, document.entities().size());
    assertEquals(
        "{\"default_class\":\"quick\",\"name\":\"c\"}",
        document.entities().get(new EntityKey(EntityKind.CUSTOMER, "c")));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          "tier": 0          | "tier": 99          | 4 | tier
          "tier": 0          | "tier": "x"         | 4 | tier
          "tier": 0          | "teir": 0           | 4 | tier
          "first_token_ms": 350 | "first_token_ms": 0 | 4 | first_token_ms
          "pool": "engines", "methods" | "pool": "none", "methods" | 10 | none
          "default_class": "quick" | "default_class": "slow" | 8 | slow
          "kind": "engine"   | "kind": "steam"     | 6 | steam
          "domains": [       | "domainz": [        | 2 | domainz
          {"name": "c", "default_class": "quick"} | {"default_class": "quick"} | 8 | name
          """)
  void reportsErrorWithItsLine(String from, String to, int line, String word) {
    assertTrue(VALID.contains(from), from);
    Either<List<PolicyError>, PolicyDocument> parsed = PolicyParser.parse(VALID.replace(from, to));
    assertTrue(parsed.isLeft(), () -> "accepted: " + to);
    PolicyError error = parsed.getLeft().get(0);
    assertEquals(line, error.line(), error.toString());
    assertTrue(error.toString().contains(word), error.toString());
  }

  @Test
  void reportsAllErrorsNotJustTheFirst() {
    String broken = VALID.replace("\"tier\": 0", "\"tier\": 99").replace("engine\"}", "steam\"}");
    assertEquals(2, PolicyParser.parse(broken).getLeft().size());
  }

  @Test
  void entitiesSurviveDiffAndApply() {
    Map<EntityKey, String> entities = PolicyParser.parse(VALID).get().entities();
    List<EntityEdit> edits = PolicyDiff.between(Map.of(), entities);
    Policy policy = Policy.empty().apply(new ConfigChange(new ConfigVersion(1), edits)).get();
    assertEquals(entities, policy.entities());
    assertEquals(List.of(), PolicyDiff.between(policy.entities(), entities));
    assertEquals("t", policy.route("/t/1").orElseThrow().name().value());
    assertTrue(policy.route("/tx").isEmpty());
  }

  @Test
  void rejectsChangeWithEqualOrOlderVersion() {
    ConfigChange change = new ConfigChange(new ConfigVersion(3), List.of());
    Policy policy = Policy.empty().apply(change).get();
    assertTrue(policy.apply(change).isLeft());
    assertTrue(policy.apply(new ConfigChange(new ConfigVersion(2), List.of())).isLeft());
  }
}
