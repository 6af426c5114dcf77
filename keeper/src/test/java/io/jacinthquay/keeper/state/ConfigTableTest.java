package io.jacinthquay.keeper.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.wire.gen.ApplyCommand;
import io.jacinthquay.wire.gen.CommandAnswer;
import io.jacinthquay.wire.gen.CommandBody;
import io.jacinthquay.wire.gen.EditMessage;
import java.util.List;
import org.junit.jupiter.api.Test;

final class ConfigTableTest {
  private static ApplyCommand change(int number) {
    EditMessage edit = new EditMessage("vm_states", "v").setJson("{\"leaving\":true}");
    return new ApplyCommand("c" + number, -1, List.of(edit), "ops");
  }

  @Test
  void changesHistoryAndChangeIdsAreBounded() {
    StateHarness machine = StateHarness.withoutFault();
    int changes = ChangeAnswers.MAX_CHANGE_IDS + 10;
    for (int i = 1; i <= changes; i++) {
      machine.run(i, CommandBody.apply(change(i)));
    }
    machine.restart();
    ConfigTable config = machine.tables().config();

    long oldestStored = changes - ChangeLog.MAX_CHANGES;
    assertTrue(config.changesAfter(oldestStored, 1).isPresent());
    assertFalse(config.changesAfter(oldestStored - 1, 1).isPresent(), "compacted");
    assertEquals(ChangeLog.MAX_LINES, config.history(changes).size());
    assertEquals(changes, config.history(1).get(0).getVersion());
    CommandAnswer repeated = machine.run(changes, CommandBody.apply(change(11)));
    assertEquals(11, repeated.getApplied().getVersion());
    assertTrue(repeated.getApplied().isResent());
  }

  @Test
  void resendWithTheSameContentDigestMayHaveOtherEdits() {
    StateHarness machine = StateHarness.withoutFault();
    CommandAnswer first = machine.run(1, CommandBody.apply(change(1).setContentDigest("same")));
    ApplyCommand resend = new ApplyCommand("c1", -1, List.of(), "ops").setContentDigest("same");
    ApplyCommand other = new ApplyCommand("c1", -1, List.of(), "ops").setContentDigest("other");

    assertFalse(first.getApplied().isResent());
    assertTrue(machine.run(2, CommandBody.apply(resend)).getApplied().isResent());
    assertTrue(machine.run(3, CommandBody.apply(other)).isSetFailure());
  }
}
