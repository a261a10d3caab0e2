package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Two assigners own the same proxies or zones for a while. */
class SharedOwnershipTest {
  /** Thirty graces, after which a zone without proxies is released, and a control period. */
  private static final int RELEASE_S = 62;

  /** Twelve half-lives of evidence of six periods each: 3,000 attempts count as less than one. */
  private static final int EVIDENCE_EXPIRY_S = 72;

  /** Whether it changes this table or binds this proxy. */
  private static boolean concerns(RecordedCommand command, int table, int proxy) {
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

  /** Guards against an owner that disturbs another, or commands what it has released. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void twoOwnersOfOneProxyKeepTheInvariantsIndependently(boolean isReleased) {
    ScopeSite first = ScopeSite.started(3, 8, 12, 2, 2);
    ScopeSite second = ScopeSite.started(3, 8, 12, 1, 2);
    first.join(20, 2);
    first.endBatch();
    second.joinHolding(20, 2, first.listedServers(2));
    second.endBatch();
    List<ScopeSite> both = List.of(first, second);
    for (int change = 0; change < 60; change++) {
      Set<Long> server = Set.of(1L + change % 12);
      for (ScopeSite site : both) {
        site.changeLifecycle(server, Lifecycle.DRAINING);
        site.endBatch();
        assertTrue(site.commands.ejected.containsAll(server), "ejected in the same batch");
        site.runSeconds(6);
        assertFalse(site.isAnyUsed(server));
        assertFalse(site.listedServers(2).containsAll(server), "and its weight is removed");
        site.changeLifecycle(server, Lifecycle.READY);
        site.runSteps(18, 3);
        assertEquals(ScopeSite.servers(1, 12), site.usableServers(20));
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
                  first.lastCommands.stream().noneMatch(command -> concerns(command, 2, 20)),
                  "" + first.lastCommands);
      first.changeLifecycle(Set.of(1L), Lifecycle.REMOVED);
      first.runSeconds(120);
    }
    assertEquals(isReleased, first.clearedTables.contains(2));
    assertFalse(second.clearedTables.contains(2));
  }

  /**
   * Guards against state of a region that stays after its zones returned to their owner, and
   * against old lists for proxies that return.
   */
  @Test
  void aRegionOwnedTwiceForAnHourLeavesNoStateBehind() {
    ScopeSite home = ScopeSite.started(6, 60, 30, 5, 2).runSeconds(120);
    ScopeSite away = ScopeSite.started(6, 60, 30, 1, 2).runSeconds(120);
    long objectsOfHomeBefore = ObjectCount.of(home.fixture.policy);
    long objectsOfAwayBefore = ObjectCount.of(away.fixture.policy);
    Set<Long> table = home.listedServers(2);
    List<Integer> proxiesOfRegion =
        home.zoneByProxy.keySet().stream().filter(p -> home.zoneByProxy.get(p) >= 2).toList();
    proxiesOfRegion.forEach(p -> away.joinHolding(1000 + p, home.zoneByProxy.get(p), table));
    away.runSteps(360, 5);
    Set<Long> drained = Set.of(8L, 9L, 10L);
    List.of(home, away)
        .forEach(
            site -> {
              site.changeLifecycle(drained, Lifecycle.DRAINING);
              site.endBatch();
            });
    home.runSteps(720, 5);
    away.runSteps(360, 5);
    assertTrue(
        ObjectCount.of(away.fixture.policy) > objectsOfAwayBefore + 4 * 30,
        "it has the state of the region");
    proxiesOfRegion.forEach(
        p -> home.joinHolding(p, home.zoneByProxy.get(p), away.usableServers(1000 + p)));
    home.endBatch();
    proxiesOfRegion.forEach(p -> away.leave(1000 + p));
    assertTrue(home.areAllBound(), "bound in the batch of their return");
    proxiesOfRegion.forEach(
        p -> assertFalse(home.usableServers(p).stream().anyMatch(drained::contains)));
    List.of(home, away)
        .forEach(
            site -> {
              site.changeLifecycle(drained, Lifecycle.READY);
              site.runSeconds(RELEASE_S + EVIDENCE_EXPIRY_S);
            });
    assertTrue(away.clearedTables.containsAll(Set.of(2, 3, 4)));
    assertTrue(
        ObjectCount.of(away.fixture.policy) <= 1.05 * objectsOfAwayBefore,
        ObjectCount.of(away.fixture.policy) + " objects, " + objectsOfAwayBefore + " before");
    assertTrue(
        ObjectCount.of(home.fixture.policy) <= 1.05 * objectsOfHomeBefore,
        ObjectCount.of(home.fixture.policy) + " objects, " + objectsOfHomeBefore + " before");
  }
}
