package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** State of single servers (outliers and slow start), and the success forecast. */
class ServerHealthTest {
  private static final long SECOND_US = 1_000_000;
  private static final ServiceLimits LIMITS =
      new ServiceLimits(
          SECOND_US, 2 * SECOND_US, 0.25, 10 * SECOND_US, 2, 4 * SECOND_US, SECOND_US, false);

  private final CommandLog log = new CommandLog();
  private final OutlierDetector outliers = new OutlierDetector(log.commands());
  private final SlowStart slowStart = new SlowStart(LIMITS);

  private static List<Server> servers(double... failureShares) {
    List<Server> servers = new ArrayList<>();
    for (double share : failureShares) {
      Server server = new Server(servers.size() + 1, 0);
      server.failureShare = share;
      servers.add(server);
    }
    return servers;
  }

  @Test
  void serverFailingMoreThanTheMedianIsReducedAndLoggedUntilItRecovers() {
    List<Server> servers = servers(0, 0, 0.5);
    outliers.update(servers);
    assertEquals(
        0.25,
        servers.get(2).healthFactor,
        1e-12,
        "the factor is squared while most servers are healthy");
    assertTrue(servers.get(2).outlier);
    assertEquals(1, servers.get(0).healthFactor);
    servers.get(2).failureShare = 0.25;
    outliers.update(servers);
    assertTrue(servers.get(2).outlier, "it stays an outlier between the thresholds");
    servers.get(2).failureShare = 0.1;
    outliers.update(servers);
    assertFalse(servers.get(2).outlier);
    assertEquals(List.of("log[server 3 is an outlier]", "log[server 3 recovered]"), log.lines);
  }

  @Test
  void weightIsKeptIfAllFailEquallyAndNeverReducedToZero() {
    List<Server> equallyFailing = servers(0.9, 0.9, 0.9);
    outliers.update(equallyFailing);
    equallyFailing.forEach(server -> assertEquals(1, server.healthFactor));
    List<Server> withOutlier = servers(0, 0, 1);
    outliers.update(withOutlier);
    assertEquals(0.01, withOutlier.get(2).healthFactor);
  }

  @Test
  void readinessRisesLinearlyFromTheStartOfAServer() {
    Server server = new Server(1, 0);
    server.startedUs = 100 * SECOND_US;
    server.firstListedUs = 102 * SECOND_US;
    slowStart.update(105 * SECOND_US, List.of(server));
    assertEquals(0.25 + 0.75 * 0.5, server.availableCapacityShare, 1e-12);
    assertEquals(
        0.1 + 0.9 * 0.3,
        server.slowStartFactor,
        1e-12,
        "rises from the time when the server was listed");
    assertFalse(slowStart.isWarm(109 * SECOND_US, server));
    assertTrue(slowStart.isWarm(110 * SECOND_US, server));
    slowStart.update(110 * SECOND_US, List.of(server));
    assertEquals(1, server.slowStartFactor, "slow start ends regardless of the weight reached");
  }

  @Test
  void serverStartedLongAgoIsPastSlowStart() {
    Server server = new Server(1, 0);
    slowStart.update(5, List.of(server));
    assertEquals(1, server.availableCapacityShare);
    assertEquals(1, server.slowStartFactor);
  }

  @Test
  void forecastContinuesADecreaseAndDelaysAnIncrease() {
    SuccessForecast forecast = new SuccessForecast();
    forecast.update(attempts(90, 10));
    assertEquals(0, forecast.successShare(), "an increase from 0 takes effect later");
    forecast.update(attempts(90, 10));
    assertEquals(0.9, forecast.successShare(), 1e-12);
    forecast.update(attempts(60, 40));
    assertEquals(0.3, forecast.successShare(), 1e-12);
    forecast.update(attempts(90, 10));
    assertEquals(0.6, forecast.successShare(), 1e-12);
  }

  private static AttemptStats attempts(double succeeded, double failed) {
    AttemptStats attempts = new AttemptStats();
    attempts.succeeded = succeeded;
    attempts.failed = failed;
    return attempts;
  }
}
