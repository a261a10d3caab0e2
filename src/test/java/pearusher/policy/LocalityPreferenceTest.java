package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Preference for servers of the own zone, and its limits. */
class LocalityPreferenceTest {
  @Test
  void initialPreferenceCountsProxiesAndIsLimitedByTheCapacityOfTheZone() {
    PolicyFixture fixture =
        new PolicyFixture(
            new PolicySettingsBuilder().idempotentRequestsOnly().crossZoneCost(0.08).build());
    fixture.sendEndpointList(ListUpdateKind.CACHED, TestServers.readyServers(40, 2));
    for (int proxy = 0; proxy < 40; proxy++) {
      fixture.join(proxy, proxy % 4 == 0 ? 1 : 0, true);
    }
    fixture.endBatch();
    double[] ownZoneShare = new double[2];
    for (int zone = 0; zone < 2; zone++) {
      for (long id = 1; id <= 40; id++) {
        ownZoneShare[zone] += id % 2 == zone ? fixture.commands.share(zone, id) : 0;
      }
    }
    assertTrue(
        ownZoneShare[1] > 0.8, "own-zone share with a quarter of the proxies: " + ownZoneShare[1]);
    assertTrue(
        ownZoneShare[0] < 0.72,
        "own-zone share with three quarters of the proxies: " + ownZoneShare[0]);
  }

  @Test
  void ownZoneShareRisesWhileItsServersAreFastAndFallsWhenTheyAreSlow() {
    PolicyFixture fixture =
        new PolicyFixture(
            new PolicySettingsBuilder().idempotentRequestsOnly().crossZoneCost(0.08).build());
    fixture.start(TestServers.readyServers(8, 2), 4);
    fixture.runPeriods(40);
    double ownZoneShare = 0;
    for (long id = 2; id <= 8; id += 2) {
      ownZoneShare += fixture.commands.share(0, id);
    }
    assertTrue(ownZoneShare > 0.75, "own-zone share with fast servers: " + ownZoneShare);
    assertEquals(8, fixture.commands.weightsByTable.get(0).size());
    for (long id = 2; id <= 8; id += 2) {
      fixture.latencyMs.put(id, 600.0);
    }
    fixture.runPeriods(8);
    double slowOwnZoneShare = 0;
    for (long id = 2; id <= 8; id += 2) {
      slowOwnZoneShare += fixture.commands.share(0, id);
    }
    assertTrue(slowOwnZoneShare < 0.45, "own-zone share with slow servers: " + slowOwnZoneShare);
  }
}
