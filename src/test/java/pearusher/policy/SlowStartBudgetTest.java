package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Shares of a server in slow start, beside three servers past slow start. Each of the four servers
 * initially has a quarter of the requests.
 */
class SlowStartBudgetTest {
  private final PolicyModules modules = new PolicyModules(new PolicySettingsBuilder().build());
  private final SuccessForecast forecast = new SuccessForecast();
  private final SlowStartBudget budget =
      new SlowStartBudget(modules.settings, modules.fleet, modules.clock, modules.cycle, forecast);
  private List<Server> servers;
  private Server starting;

  @BeforeEach
  void listServers() {
    servers = modules.listServers(4);
    for (Server server : servers) {
      server.availableCapacityShare = 1;
      server.share = 0.25;
    }
    starting = servers.get(3);
    starting.availableCapacityShare = 0.2;
  }

  private void reportSuccess() {
    for (Server server : servers.subList(0, 3)) {
      server.attempts.current(0).add(100, 0, 200_000, 1);
      server.attempts.endPeriod(1);
    }
    AttemptStats succeeded = new AttemptStats();
    succeeded.add(300, 0, 200_000, 1);
    forecast.update(succeeded);
    forecast.update(succeeded);
  }

  private double totalShare() {
    return Statistics.total(servers, server -> server.share);
  }

  @Test
  void shareInSlowStartIsCappedBySuccessOfTheOtherServers() {
    reportSuccess();
    budget.capShares();
    assertEquals(0.4 * 3 * (1.0 / 3) * 0.2, starting.share, 1e-12);
    assertEquals(1, totalShare(), 1e-12, "servers past slow start get the rest");
  }

  @Test
  void shareBelowTheCapIsUnchanged() {
    reportSuccess();
    starting.share = 0.01;
    budget.capShares();
    assertEquals(0.01, starting.share);
    assertEquals(0.25, servers.get(0).share);
  }

  @Test
  void leastReadyServerIsExcludedWhileMostAttemptsFail() {
    budget.capShares();
    assertEquals(0, starting.share);
    assertEquals(0.25, servers.get(0).share);
  }

  @Test
  void mostReadyServersAreIncludedIfAllAreInSlowStart() {
    servers.forEach(server -> server.availableCapacityShare = 0.2);
    starting.availableCapacityShare = 0.1;
    budget.capShares();
    assertEquals(0, starting.share);
    assertTrue(totalShare() > 0);
  }
}
