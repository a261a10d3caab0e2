package pearusher.policy;

import java.util.List;

/** The modules that a module under test depends on, connected as in {@link FaastPolicy}. */
final class PolicyModules {
  static final long SECOND_US = PolicyFixture.SECOND_US;

  final CommandLog log = new CommandLog();
  final PolicySettings settings;
  final ControlClock clock;
  final ProxyRegistry proxies;
  final FleetState fleet;
  final ChannelBudget channel;
  final ReportCycle cycle;
  final ResponseTimeEstimator estimator;
  final UtilizationMonitor utilization;
  long nowUs = 100 * SECOND_US;

  PolicyModules(PolicySettings settings) {
    this.settings = settings;
    PolicyCommands commands = log.commands();
    clock = new ControlClock(settings.controlPeriodUs(), commands);
    EjectionQueue ejections = new EjectionQueue(commands);
    ServerRegistry servers = new ServerRegistry(settings, commands, clock, ejections);
    proxies = new ProxyRegistry(settings, commands, clock);
    ZoneTables tables = new ZoneTables(settings);
    ChannelLimits limits =
        new ChannelLimits(
            settings.channel(),
            settings.limits().drainGraceUs(),
            settings.proxies(),
            settings.requestClasses().size());
    channel = new ChannelBudget(settings.channel(), limits, commands);
    ZoneScope scope = new ZoneScope(settings, commands, servers, proxies, tables, limits);
    fleet = new FleetState(servers, proxies, tables, scope);
    cycle = new ReportCycle(settings, fleet);
    estimator = new ResponseTimeEstimator(settings, fleet, clock, cycle);
    utilization =
        new UtilizationMonitor(settings, commands, fleet, new SlowStart(settings.limits()));
    clock.start(nowUs);
    channel.start(nowUs);
  }

  /** Registers a proxy of zone 0 with the same demand in each request class. */
  void join(int proxy, double requestsPerSecond) {
    proxies.add(nowUs, proxy, proxies.create(nowUs, 0, requestsPerSecond, true));
  }

  /**
   * Lists servers 1 to {@code count} of zone 0, started long ago, and determines the servers in
   * scope.
   */
  List<Server> listServers(int count) {
    fleet.servers().applyUpdate(nowUs, ListUpdateKind.CACHED, TestServers.readyServers(count, 1));
    fleet.tables().get(0);
    fleet.scope().invalidate();
    fleet.scope().refresh();
    return fleet.scope().servers();
  }

  /** Runs a control period in which each server reports the same attempts. */
  void runPeriod(long attempts, long failed, long meanUs) {
    nowUs += SECOND_US;
    for (Server server : fleet.scope().servers()) {
      estimator.onLoadReport(
          AttemptReport.ofSpanEndingNow(
              server.id, 0, attempts, failed, SECOND_US, meanUs, PolicyFixture.NO_LOAD));
    }
    estimator.endPeriod(clock.beginPeriod(nowUs));
  }
}
