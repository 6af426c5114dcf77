package io.jacinthquay.keeper.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.policy.EntityKey;
import io.jacinthquay.model.policy.EntityKind;
import io.jacinthquay.model.policy.PolicyParser;
import io.jacinthquay.wire.gen.ApplyCommand;
import io.jacinthquay.wire.gen.Command;
import io.jacinthquay.wire.gen.CommandAnswer;
import io.jacinthquay.wire.gen.CommandBody;
import io.jacinthquay.wire.gen.EditMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import java.util.function.UnaryOperator;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.Size;

/** Compares random histories of racing, repeated and malformed changes with a simple oracle. */
final class ConfigProperties {
  /**
   * One change.
   *
   * @param behind by how many versions the expected version is behind the current one
   */
  record Change(int changeId, int behind, boolean anyVersion, List<EditMessage> edits) {}

  private static final String[] KEYS = {
    KeyDigest.ofKey("a").hex(), KeyDigest.ofKey("b").hex(), "no digest"
  };

  @Provide
  Arbitrary<Change> changes() {
    Arbitrary<EditMessage> edit =
        Arbitraries.of(
            set("classes", "x", "{\"name\":\"x\",\"tier\":0,\"first_token_ms\":300}"),
            set("classes", "y", "{\"name\":\"y\",\"tier\":1,\"first_token_ms\":900}"),
            set("classes", "z", "{\"name\":\"x\",\"tier\":1,\"first_token_ms\":900}"),
            set("classes", "y", "{\"name\":\"y\",\"tier\":1,\"first_token_ms\":-1}"),
            new EditMessage("classes", "x"),
            new EditMessage("classes", "y"),
            set("customers", "c", "{\"name\":\"c\",\"default_class\":\"x\"}"),
            set("customers", "d", "{\"name\":\"d\",\"default_class\":\"y\"}"),
            new EditMessage("customers", "c"),
            set("domains", "m", "{\"name\":\"m\",\"region\":\"r\"}"),
            new EditMessage("domains", "m"),
            set("domain_states", "m", "{\"out\":true}"),
            new EditMessage("domain_states", "m"),
            set("keys", KEYS[0], "{\"customer\":\"c\"}"),
            set("keys", KEYS[0], "{\"customer\":\"c\",\"withdrawn\":true}"),
            set("keys", KEYS[1], "{\"customer\":\"d\"}"),
            set("keys", KEYS[1], "{\"customer\":\"d\",\"withdrawn\":true}"),
            set("keys", KEYS[2], "{\"customer\":\"c\"}"),
            new EditMessage("keys", KEYS[0]),
            set("vm_states", "no name", "{\"leaving\":true}"),
            set("no section", "x", "{}"));
    return Combinators.combine(
            Arbitraries.integers().between(0, 40),
            Arbitraries.frequency(Tuple.of(6, 0), Tuple.of(1, 1), Tuple.of(1, -1)),
            Arbitraries.of(true, false, false),
            edit.list().ofMinSize(0).ofMaxSize(3))
        .as(Change::new);
  }

  private static EditMessage set(String section, String name, String json) {
    return new EditMessage(section, name).setJson(json);
  }

  @Property(tries = 600, seed = "41")
  void changesMatchTheOracle(
      @ForAll @Size(min = 1, max = 60) List<@From("changes") Change> history) {
    check(history, command -> command);
  }

  @Property(tries = 1, seed = "42")
  void checkDetectsForgottenChangeIds(
      @ForAll @Size(200) List<@Size(40) List<@From("changes") Change>> histories) {
    int[] nextId = {0};
    InjectedFault.assertDetected(
        histories,
        h ->
            check(
                h,
                c -> {
                  c.getBody().getApply().setChangeId("u" + nextId[0]++);
                  return c;
                }));
  }

  @Property(tries = 1, seed = "43")
  void checkDetectsIgnoredExpectedVersion(
      @ForAll @Size(200) List<@Size(40) List<@From("changes") Change>> histories) {
    InjectedFault.assertDetected(
        histories,
        h ->
            check(
                h,
                c -> {
                  ApplyCommand apply = c.getBody().getApply();
                  if (apply.getExpectedVersion() > 0) {
                    apply.setExpectedVersion(apply.getExpectedVersion() - 1);
                  }
                  return c;
                }));
  }

  private static void check(List<Change> history, UnaryOperator<Command> fault) {
    StateHarness machine = new StateHarness(fault);
    Oracle oracle = new Oracle();
    for (int i = 0; i < history.size(); i++) {
      Change change = history.get(i);
      long before = machine.tables().config().version();
      long expected = change.anyVersion() ? -1 : before - change.behind();
      ApplyCommand command =
          new ApplyCommand("id" + change.changeId(), expected, change.edits(), "ops");
      CommandAnswer answer = machine.run(i, CommandBody.apply(command));
      oracle.check(command, answer, before, machine.tables().config());
      if (i % 10 == 9) {
        machine.restart();
      }
    }
  }

  /** Checks each answer and state against the rules of configuration changes. */
  private static final class Oracle {
    private final Map<String, ApplyCommand> firstCommands = new HashMap<>();
    private final Map<String, CommandAnswer> firstAnswers = new HashMap<>();
    private final Set<String> withdrawn = new HashSet<>();
    private Map<EntityKey, String> entities = Map.of();

    void check(ApplyCommand command, CommandAnswer answer, long before, ConfigTable config) {
      String id = command.getChangeId();
      if (firstCommands.containsKey(id)) {
        assertEquals(before, config.version(), "a known change id must change nothing");
        checkRepeat(command, answer, firstCommands.get(id), firstAnswers.get(id));
      } else {
        firstCommands.put(id, command);
        firstAnswers.put(id, answer);
        checkFirst(command, answer, before, config);
      }
      entities = Map.copyOf(config.policy().entities());
      checkState();
    }

    private void checkRepeat(
        ApplyCommand command, CommandAnswer answer, ApplyCommand first, CommandAnswer firstAnswer) {
      if (!command.equals(first)) {
        assertTrue(answer.isSetFailure(), "a change id must not be reused for another change");
      } else if (firstAnswer.isSetFailure()) {
        assertEquals(firstAnswer, answer, "a resend must get the same failure");
      } else {
        assertEquals(firstAnswer.getApplied().getVersion(), answer.getApplied().getVersion());
        assertTrue(answer.getApplied().isResent());
      }
    }

    private void checkFirst(
        ApplyCommand command, CommandAnswer answer, long before, ConfigTable config) {
      if (answer.isSetFailure()) {
        assertEquals(before, config.version(), "a rejected change must change nothing");
        assertEquals(entities, config.policy().entities());
        return;
      }
      boolean anyVersion = command.getExpectedVersion() == -1;
      assertTrue(
          anyVersion || command.getExpectedVersion() == before,
          "only a change that expects the current version may succeed");
      assertEquals(before + 1, answer.getApplied().getVersion());
      assertEquals(before + 1, config.version(), "a change must increase the version by one");
      assertEquals(
          command.getEdits(), config.changesAfter(before, 1).orElseThrow().get(0).getEdits());
    }

    private void checkState() {
      String document = document();
      assertTrue(
          PolicyParser.parse(document).isRight(),
          () -> document + " " + PolicyParser.parse(document).getLeft());
      Set<String> withdrawnNow = new HashSet<>();
      entities.forEach(
          (key, json) -> {
            if (key.kind() == EntityKind.KEY && json.contains("true")) {
              withdrawnNow.add(key.name());
            }
          });
      assertTrue(withdrawnNow.containsAll(withdrawn), "withdrawn keys must stay withdrawn");
      withdrawn.addAll(withdrawnNow);
      assertFalse(withdrawn.contains(KEYS[2]));
    }

    private String document() {
      StringJoiner sections = new StringJoiner(",", "{", "}");
      for (EntityKind kind : EntityKind.values()) {
        List<String> items = new ArrayList<>();
        entities.forEach(
            (key, json) -> {
              if (key.kind() == kind && kind.inDocument()) {
                items.add(json);
              }
            });
        if (!items.isEmpty()) {
          sections.add("\"" + kind.section() + "\":[" + String.join(",", items) + "]");
        }
      }
      return sections.toString();
    }
  }
}
