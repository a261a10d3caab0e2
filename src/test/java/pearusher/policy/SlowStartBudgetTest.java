package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Three warm servers and one in slow start, with a quarter of the requests each. */
class SlowStartBudgetTest {
  private final PolicyModules modules = new PolicyModules(new PolicySettingsBuilder().build());
  private final SuccessForecast forecast = new SuccessForecast();
  private final SlowStartBudget budget =
      new SlowStartBudget(modules.settings, modules.fleet, modules.clock, modules.cycle, forecast);
  private List<Server> servers;
  private Server cold;

  @BeforeEach
  void listServers() {
    servers = modules.listServers(4);
    for (Server server : servers) {
      server.readiness = 1;
      server.share = 0.25;
    }
    cold = servers.get(3);
    cold.readiness = 0.2;
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
  void aColdServerIsCappedByTheSuccessOfWarmOnes() {
    reportSuccess();
    budget.capShares();
    assertEquals(0.4 * 3 * (1.0 / 3) * 0.2, cold.share, 1e-12);
    assertEquals(1, totalShare(), 1e-12, "warm servers get the rest");
  }

  @Test
  void aShareBelowTheCapStays() {
    reportSuccess();
    cold.share = 0.01;
    budget.capShares();
    assertEquals(0.01, cold.share);
    assertEquals(0.25, servers.get(0).share);
  }

  @Test
  void theColdestGetNothingWhileMostAttemptsFail() {
    budget.capShares();
    assertEquals(0, cold.share);
    assertEquals(0.25, servers.get(0).share);
  }

  @Test
  void someServersAreAdmittedIfNoneIsWarm() {
    servers.forEach(server -> server.readiness = 0.2);
    cold.readiness = 0.1;
    budget.capShares();
    assertEquals(0, cold.share);
    assertTrue(totalShare() > 0);
  }
}
