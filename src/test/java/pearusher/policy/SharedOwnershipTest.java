package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Two assigners that own the same proxies or zones for some time. */
class SharedOwnershipTest {
  /**
   * 30 drain grace periods, after which a zone without proxies is released, and a control period.
   */
  private static final int RELEASE_S = 62;

  /**
   * 12 half-lives of evidence, of six control periods each, after which 3,000 attempts count as
   * less than one.
   */
  private static final int EVIDENCE_EXPIRY_S = 72;

  /** Returns whether a command changes this table or binds this proxy. */
  private static boolean affects(RecordedCommand command, int table, int proxy) {
    if (command instanceof RecordedCommand.SetWeight weight) {
      return weight.table() == table;
    }
    if (command instanceof RecordedCommand.SetAdmission admission) {
      return admission.table() == table;
    }
    if (command instanceof RecordedCommand.ClearTable clear) {
      return clear.table() == table;
    }
    return command instanceof RecordedCommand.BindProxy bind && bind.proxy() == proxy;
  }

  /**
   * Guards against owners that affect each other, or issue commands for tables they have released.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void twoOwnersOfOneProxyEachMaintainTheInvariants(boolean isReleased) {
    ProxyTierHarness first = ProxyTierHarness.started(3, 8, 12, 2, 2);
    ProxyTierHarness second = ProxyTierHarness.started(3, 8, 12, 1, 2);
    first.join(20, 2);
    first.endBatch();
    second.joinWithTable(20, 2, first.listedServers(2));
    second.endBatch();
    List<ProxyTierHarness> both = List.of(first, second);
    for (int change = 0; change < 60; change++) {
      Set<Long> server = Set.of(1L + change % 12);
      for (ProxyTierHarness harness : both) {
        harness.changeLifecycle(server, Lifecycle.DRAINING);
        harness.endBatch();
        assertTrue(harness.commands.ejected.containsAll(server), "ejected in the same batch");
        harness.runSeconds(6);
        assertFalse(harness.isAnyUsed(server));
        assertFalse(
            harness.listedServers(2).containsAll(server),
            "the draining server is removed from the table");
        harness.changeLifecycle(server, Lifecycle.READY);
        harness.runSteps(18, 3);
        assertEquals(ProxyTierHarness.servers(1, 12), harness.usableServers(20));
      }
    }
    if (isReleased) {
      first.leave(20);
      first.runSeconds(RELEASE_S);
      assertTrue(first.clearedTables.contains(2), "released when the proxy leaves");
      first.commands.issued.clear();
      first.invariant =
          () ->
              assertTrue(
                  first.lastCommands.stream().noneMatch(command -> affects(command, 2, 20)),
                  "commands for the released zone: " + first.lastCommands);
      first.changeLifecycle(Set.of(1L), Lifecycle.REMOVED);
      first.runSeconds(120);
    }
    assertEquals(isReleased, first.clearedTables.contains(2));
    assertFalse(second.clearedTables.contains(2));
  }

  /**
   * Guards against state of a region that remains after its zones have returned to their owner, and
   * against outdated tables for proxies that return.
   */
  @Test
  void aRegionOwnedTwiceForAnHourLeavesNoStateAfterItsReturn() {
    ProxyTierHarness firstOwner = ProxyTierHarness.started(6, 60, 30, 5, 2).runSeconds(120);
    ProxyTierHarness secondOwner = ProxyTierHarness.started(6, 60, 30, 1, 2).runSeconds(120);
    long objectsOfFirstBefore = ObjectCount.of(firstOwner.fixture.policy);
    long objectsOfSecondBefore = ObjectCount.of(secondOwner.fixture.policy);
    Set<Long> table = firstOwner.listedServers(2);
    List<Integer> proxiesOfRegion =
        firstOwner.zoneByProxy.keySet().stream()
            .filter(proxy -> firstOwner.zoneByProxy.get(proxy) >= 2)
            .toList();
    proxiesOfRegion.forEach(
        proxy -> secondOwner.joinWithTable(1000 + proxy, firstOwner.zoneByProxy.get(proxy), table));
    secondOwner.runSteps(360, 5);
    Set<Long> drained = Set.of(8L, 9L, 10L);
    List.of(firstOwner, secondOwner)
        .forEach(
            harness -> {
              harness.changeLifecycle(drained, Lifecycle.DRAINING);
              harness.endBatch();
            });
    firstOwner.runSteps(720, 5);
    secondOwner.runSteps(360, 5);
    assertTrue(
        ObjectCount.of(secondOwner.fixture.policy) > objectsOfSecondBefore + 4 * 30,
        "the second owner has state of the region");
    proxiesOfRegion.forEach(
        proxy ->
            firstOwner.joinWithTable(
                proxy, firstOwner.zoneByProxy.get(proxy), secondOwner.usableServers(1000 + proxy)));
    firstOwner.endBatch();
    proxiesOfRegion.forEach(proxy -> secondOwner.leave(1000 + proxy));
    assertTrue(firstOwner.areAllBound(), "bound in the batch of their return");
    proxiesOfRegion.forEach(
        proxy -> assertFalse(firstOwner.usableServers(proxy).stream().anyMatch(drained::contains)));
    List.of(firstOwner, secondOwner)
        .forEach(
            harness -> {
              harness.changeLifecycle(drained, Lifecycle.READY);
              harness.runSeconds(RELEASE_S + EVIDENCE_EXPIRY_S);
            });
    assertTrue(secondOwner.clearedTables.containsAll(Set.of(2, 3, 4)));
    assertTrue(
        ObjectCount.of(secondOwner.fixture.policy) <= 1.05 * objectsOfSecondBefore,
        ObjectCount.of(secondOwner.fixture.policy)
            + " objects of the second owner, "
            + objectsOfSecondBefore
            + " before");
    assertTrue(
        ObjectCount.of(firstOwner.fixture.policy) <= 1.05 * objectsOfFirstBefore,
        ObjectCount.of(firstOwner.fixture.policy)
            + " objects of the first owner, "
            + objectsOfFirstBefore
            + " before");
  }
}
