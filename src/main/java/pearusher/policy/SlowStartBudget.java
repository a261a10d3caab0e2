package pearusher.policy;

import static pearusher.policy.Statistics.total;

import java.util.Comparator;
import java.util.List;

/**
 * Bounds the requests that servers in slow start get, by the success of warm servers. While many
 * attempts fail, the coldest servers get none.
 */
final class SlowStartBudget {
  /** Share of the service's slow-start limit that is used. */
  private static final double LIMIT_SHARE = 0.4;

  /**
   * Exponent of the success forecast: in an overload proxies concentrate on the few new servers.
   */
  private static final double SUCCESS_EXPONENT = 3.0;

  /** Success forecast under which the coldest servers are held back. */
  private static final double HOLD_BELOW_SUCCESS = 0.85;

  /** Share of all ready capacity that the servers not held back must have. */
  private static final double MIN_ADMITTED_READINESS = 0.3;

  /** Reports further behind than this do not show the fleet as it is. */
  private static final double MAX_REPORT_LAG_CYCLES = 2.0;

  private final ServiceLimits limits;
  private final FleetState fleet;
  private final ControlClock clock;
  private final ReportCycle cycle;
  private final SuccessForecast forecast;

  SlowStartBudget(
      PolicySettings settings,
      FleetState fleet,
      ControlClock clock,
      ReportCycle cycle,
      SuccessForecast forecast) {
    limits = settings.limits();
    this.fleet = fleet;
    this.clock = clock;
    this.cycle = cycle;
    this.forecast = forecast;
  }

  /** Caps the shares of servers in slow start; warm servers get the rest. */
  void capShares() {
    List<Server> servers = fleet.scope().servers();
    List<Server> warm = servers.stream().filter(server -> server.readiness >= 1).toList();
    double warmSucceeded = total(warm, Server::succeededAttempts);
    double success = expectedSuccess();
    if (success < HOLD_BELOW_SUCCESS) {
      holdBackColdest(servers);
    }
    if (warm.isEmpty() || warmSucceeded <= 0) {
      return;
    }
    double warmShare =
        warmSucceeded
            / warm.size()
            / total(servers, server -> server.succeededAttempts() + server.failedAttempts())
            * Math.pow(success, SUCCESS_EXPONENT);
    double cut = 0;
    for (Server server : servers) {
      cut += server.capShare(maxShare(server, warmShare));
    }
    double growth = 1 + cut / total(warm, server -> server.share);
    warm.forEach(server -> server.scaleShare(growth));
  }

  private double expectedSuccess() {
    boolean stale =
        fleet.proxies().reportLagUs(clock.lastPeriodUs())
            > MAX_REPORT_LAG_CYCLES * cycle.durationUs();
    return stale ? 0 : forecast.share();
  }

  private double maxShare(Server server, double warmShare) {
    if (server.readiness >= 1) {
      return server.share;
    }
    return LIMIT_SHARE * limits.recoveryOverloadFactor() * warmShare * server.readiness;
  }

  /**
   * Leaves out the coldest servers as long as the others have enough of the ready capacity: proxies
   * that avoid every failing server would send a cold one everything, whatever its weight.
   */
  private static void holdBackColdest(List<Server> servers) {
    List<Server> readiestFirst =
        servers.stream().sorted(Comparator.comparingDouble(server -> -server.readiness)).toList();
    double totalReadiness = total(servers, server -> server.readiness);
    double admittedReadiness = 0;
    for (Server server : readiestFirst) {
      if (server.readiness < 1 && admittedReadiness >= MIN_ADMITTED_READINESS * totalReadiness) {
        server.clearShare();
      }
      admittedReadiness += server.readiness;
    }
  }
}
