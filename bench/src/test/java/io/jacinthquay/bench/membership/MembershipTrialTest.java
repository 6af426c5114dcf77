package io.jacinthquay.bench.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.membership.Candidate;
import io.jacinthquay.decision.membership.GossipNode;
import io.jacinthquay.decision.membership.SummaryView;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MembershipTrialTest {
  private static final double DETECTION_SECONDS = 3;

  private static MembershipTrial trial(int members, int domains, double loss, long seed) {
    return new MembershipTrial(members, domains, loss, seed, message -> 0);
  }

  @ParameterizedTest
  @CsvSource({"1, 1", "2, 1", "3, 1", "9, 3", "49, 1", "64, 4"})
  void allMembersSeeEachOtherAsLive(int members, int domains) {
    MembershipTrial trial = trial(members, domains, 0.01, 21);
    trial.run(20);
    assertEquals(0, trial.falseDeaths());
  }

  @ParameterizedTest
  @CsvSource({"2, 1", "3, 2", "9, 3", "49, 4", "49, 5", "64, 6"})
  void crashedMemberIsDetectedByAllInTime(int members, long seed) {
    MembershipTrial trial = trial(members, 1, 0.01, seed);
    trial.run(20);
    VmId dead = new VmId("entry-" + members / 2);
    trial.kill(dead);
    trial.run(DETECTION_SECONDS);
    assertEquals(0, trial.countSeeingLive(dead));
    assertTrue(
        trial.running().stream().allMatch(n -> n.domainView().members().contains(dead)),
        "a member that stopped responding may still hold slots");
  }

  @ParameterizedTest
  @CsvSource({"9, 0.01", "49, 0.01", "9, 0.05"})
  void messageLossCausesNoFalseDeaths(int members, double loss) {
    MembershipTrial trial = trial(members, 1, loss, 31);
    trial.run(20);
    for (int second = 0; second < 120; second++) {
      trial.run(1);
      assertEquals(0, trial.falseDeaths());
    }
  }

  @Test
  void memberThatLeftIsNeitherLiveNorVoterAfterOneSecond() {
    MembershipTrial trial = trial(9, 1, 0.01, 41);
    trial.run(20);
    GossipNode leaver = trial.nodes().get(4);
    trial.leave(leaver);
    trial.run(1);
    for (GossipNode node : trial.running()) {
      assertFalse(node.domainView().live().contains(leaver.self().id()));
      assertFalse(node.domainView().members().contains(leaver.self().id()));
    }
  }

  @Test
  void listMarksLeavingAndRemovesDeadButAddsNoUnseenVoters() {
    MembershipTrial trial = trial(4, 1, 0, 51);
    trial.run(20);
    GossipNode node = trial.nodes().get(0);
    VmId leaving = new VmId("entry-1");
    VmId dead = new VmId("entry-2");
    DomainId domain = node.self().domain();
    Candidate unseen = new Candidate(new VmId("entry-9"), domain, "10.1.0.9:7400", false);
    Candidate marked = new Candidate(leaving, domain, "10.1.0.1:7400", true);
    Candidate unresponsive = new Candidate(dead, domain, "10.1.0.2:7400", false);
    node.setCandidates(List.of(unseen, marked, unresponsive), trial.now());
    trial.kill(dead);
    trial.run(4);
    assertFalse(node.domainView().live().contains(leaving));
    assertTrue(node.domainView().members().contains(leaving));
    assertFalse(node.domainView().members().contains(unseen.id()));
    assertTrue(node.domainView().members().contains(dead));
    node.setCandidates(List.of(marked), trial.now());
    assertFalse(node.domainView().members().contains(dead));
  }

  @Test
  void summariesOfOtherDomainsAgeDuringAPartition() {
    MembershipTrial trial = trial(12, 3, 0.01, 61);
    trial.run(20);
    GossipNode node = trial.nodes().get(7);
    DomainId other = trial.nodes().get(0).self().domain();
    assertEquals(2, node.domains(trial.now()).size());
    assertTrue(age(node, other, trial.now()) < 5_000);
    trial.setPartitioned(other, true);
    trial.run(10);
    assertTrue(age(node, other, trial.now()) > 5_000);
    trial.setPartitioned(other, false);
    trial.run(5);
    assertTrue(age(node, other, trial.now()) < 5_000);
    assertEquals(0, trial.falseDeaths());
  }

  private static long age(GossipNode node, DomainId domain, long now) {
    return node.domains(now).stream()
        .filter(v -> v.summary().domain().equals(domain))
        .mapToLong(SummaryView::ageMillis)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  @Test
  void allMembersAgreeOnTheSameTwoRelays() {
    MembershipTrial trial = trial(9, 1, 0, 71);
    trial.run(20);
    Set<Object> views = trial.nodes().stream().map(GossipNode::relays).collect(Collectors.toSet());
    assertEquals(1, views.size());
    assertEquals(2, trial.nodes().get(0).relays().size());
  }
}
