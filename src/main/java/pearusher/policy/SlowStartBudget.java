package pearusher.policy;

import static pearusher.policy.Statistics.total;

import java.util.Comparator;
import java.util.List;

/**
 * Limits the requests to servers in slow start, based on the success of the servers with full
 * capacity. While many attempts fail, the servers with the least available capacity receive none.
 */
final class SlowStartBudget {
  /** Share of the service's limit for the load in slow start that is used. */
  private static final double USED_LIMIT_SHARE = 0.4;

  /**
   * Exponent of the success forecast. It exceeds 1 because proxies concentrate their requests on
   * the few new servers during an overload.
   */
  private static final double SUCCESS_EXPONENT = 3.0;

  /** Success forecast below which the servers with the least available capacity are excluded. */
  private static final double EXCLUDE_BELOW_SUCCESS_SHARE = 0.85;

  /** Minimum share of the total available capacity that the servers not excluded must have. */
  private static final double MIN_INCLUDED_READINESS_SHARE = 0.3;

  /**
   * Lag of the reports, in report cycles, above which they do not show the current state of the
   * fleet.
   */
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

  /**
   * Caps the shares of servers in slow start and distributes the excess over the servers with full
   * capacity.
   */
  void capShares() {
    List<Server> servers = fleet.scope().servers();
    List<Server> fullCapacityServers =
        servers.stream().filter(server -> server.availableCapacityShare >= 1).toList();
    double fullCapacitySucceeded = total(fullCapacityServers, Server::succeededAttempts);
    double success = expectedSuccess();
    if (success < EXCLUDE_BELOW_SUCCESS_SHARE) {
      excludeLeastReady(servers);
    }
    if (fullCapacityServers.isEmpty() || fullCapacitySucceeded <= 0) {
      return;
    }
    double fullCapacityShare =
        fullCapacitySucceeded
            / fullCapacityServers.size()
            / total(servers, server -> server.succeededAttempts() + server.failedAttempts())
            * StrictMath.pow(success, SUCCESS_EXPONENT);
    double cut = 0;
    for (Server server : servers) {
      cut += server.capShare(maxShare(server, fullCapacityShare));
    }
    double growthFactor = 1 + cut / total(fullCapacityServers, server -> server.share);
    fullCapacityServers.forEach(server -> server.scaleShare(growthFactor));
  }

  private double expectedSuccess() {
    boolean stale =
        fleet.proxies().reportLagUs(clock.lastPeriodUs())
            > MAX_REPORT_LAG_CYCLES * cycle.durationUs();
    return stale ? 0 : forecast.successShare();
  }

  private double maxShare(Server server, double fullCapacityShare) {
    if (server.availableCapacityShare >= 1) {
      return server.share;
    }
    return USED_LIMIT_SHARE
        * limits.recoveryOverloadFactor()
        * fullCapacityShare
        * server.availableCapacityShare;
  }

  /**
   * Excludes the servers with the least available capacity as long as the other servers have enough
   * of the total. Proxies that avoid every failing server would send all requests to a server in
   * slow start, whatever its weight.
   */
  private static void excludeLeastReady(List<Server> servers) {
    List<Server> mostReadyFirst =
        servers.stream()
            .sorted(Comparator.comparingDouble(server -> -server.availableCapacityShare))
            .toList();
    double totalReadiness = total(servers, server -> server.availableCapacityShare);
    double includedReadiness = 0;
    for (Server server : mostReadyFirst) {
      if (server.availableCapacityShare < 1
          && includedReadiness >= MIN_INCLUDED_READINESS_SHARE * totalReadiness) {
        server.clearShare();
      }
      includedReadiness += server.availableCapacityShare;
    }
  }
}
