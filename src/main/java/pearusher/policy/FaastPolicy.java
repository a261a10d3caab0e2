package pearusher.policy;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Assignment policy that implements Algorithm 1 of FaaSt. In each control period it collects
 * response times, computes for each zone a table of weights that are inverse to the servers'
 * response times, and publishes the changes. This class only coordinates the modules that decide.
 * One thread calls all methods. Memory grows with the numbers of listed servers, of proxies of this
 * instance, and of their zones.
 */
public final class FaastPolicy implements AssignmentPolicy {
  private final PolicySettings settings;

  private final ControlClock clock;
  private final EndpointListWatch listWatch;
  private final EjectionQueue ejections;
  private final ServerRegistry servers;
  private final ProxyRegistry proxies;
  private final ZoneTables tables;
  private final ZoneScope scope;
  private final ChannelBudget channel;

  private final ResponseTimeEstimator estimator;
  private final SuccessForecast forecast = new SuccessForecast();
  private final UtilizationMonitor utilization;

  private final OutlierDetector outliers;
  private final SlowStart slowStart;
  private final OverloadDetector overload;
  private final AdmissionLevels admission;
  private final RestartHold hold;
  private final TableRestorer restorer;
  private final WeightCalculator weightCalculator;
  private final SubsetAssignment subsets;

  private final WeightPublisher weightPublisher;
  private final UpdatePublisher publisher;

  /**
   * Creates the policy of one instance.
   *
   * @param settings the settings of the instance
   * @param commands receives the commands, on the thread that reports the events
   */
  public FaastPolicy(PolicySettings settings, PolicyCommands commands) {
    this.settings = settings;
    clock = new ControlClock(settings.controlPeriodUs(), commands);
    listWatch = new EndpointListWatch(settings, commands);
    ejections = new EjectionQueue(commands);
    servers = new ServerRegistry(settings, commands, clock, ejections);
    proxies = new ProxyRegistry(settings, commands, clock);
    tables = new ZoneTables(settings);
    ChannelLimits limits =
        new ChannelLimits(
            settings.channel(),
            settings.limits().drainGraceUs(),
            settings.proxies(),
            settings.requestClasses().size());
    channel = new ChannelBudget(settings.channel(), limits, commands);
    scope = new ZoneScope(settings, commands, servers, proxies, tables, limits);
    FleetState fleet = new FleetState(servers, proxies, tables, scope);

    ReportCycle cycle = new ReportCycle(settings, fleet);
    estimator = new ResponseTimeEstimator(settings, fleet, clock, cycle);
    slowStart = new SlowStart(settings.limits());
    utilization = new UtilizationMonitor(settings, commands, fleet, slowStart);
    outliers = new OutlierDetector(commands);
    overload =
        new OverloadDetector(settings, commands, clock, cycle, channel, estimator, utilization);
    admission = new AdmissionLevels(settings, proxies);
    hold = new RestartHold(settings, commands, fleet, clock, limits, cycle, overload);
    restorer = new TableRestorer(fleet, admission, overload, hold);
    weightCalculator =
        new WeightCalculator(
            fleet,
            clock,
            hold,
            new LocalityPreference(settings, fleet, clock, overload),
            new SlowStartBudget(settings, fleet, clock, cycle, forecast));
    subsets = new SubsetAssignment(settings, commands, fleet);

    weightPublisher = new WeightPublisher(commands, fleet, channel, ejections);
    UpdatePublisher.DecisionModules decisions =
        new UpdatePublisher.DecisionModules(
            admission, new RetryPolicy(overload), subsets, weightPublisher);
    publisher = new UpdatePublisher(settings, commands, fleet, channel, ejections, hold, decisions);
    if (settings.slices() > 0) {
      commands.log("slices are not served: this instance binds and orders nothing");
    }
  }

  @Override
  public void onEndpointList(long nowUs, ListUpdateKind kind, List<ServerEntry> entries) {
    if (kind == ListUpdateKind.FAILED) {
      listWatch.onFailure();
      return;
    }
    listWatch.onUpdate(kind);
    scope.invalidate();
    servers.applyUpdate(nowUs, kind, entries);
  }

  @Override
  public void onProxyJoined(
      long nowUs, int proxyId, int zone, double requestsPerSecond, boolean listedChangesOnly) {
    ProxyState proxy = proxies.create(nowUs, zone, requestsPerSecond, listedChangesOnly);
    if (!tables.contains(proxy.zone)) {
      scope.invalidate();
    }
    ZoneTable table = tables.get(proxy.zone);
    table.recordUse(nowUs);
    if (clock.isStarted() && table.plannedShares.isEmpty()) {
      planNewZone(proxy.zone);
    }
    proxies.add(nowUs, proxyId, proxy);
    if (clock.periodsWithReports() == 0) {
      clock.requestRecompute();
    }
    hold.onProxyJoined(nowUs, proxy);
  }

  /**
   * Plans the table of a zone that has come into scope, so that its proxies are bound in the same
   * batch instead of the next control period.
   */
  private void planNewZone(int zone) {
    weightCalculator.recompute(zone);
    weightPublisher.publish(zone);
    subsets.update();
  }

  @Override
  public void onProxyLeft(long nowUs, int proxyId) {
    proxies.remove(proxyId);
  }

  @Override
  public void onAcknowledgement(long nowUs, int proxyId, int ackNumber, long tookUs) {
    channel.onAcknowledgement(proxyId, ackNumber, tookUs);
  }

  @Override
  public void onTableRestored(
      long nowUs,
      int tableNumber,
      Map<Long, Double> weights,
      double[] levels,
      int[] retryModes,
      int lastAckNumber) {
    if (tables.isSubsetTable(tableNumber)) {
      return;
    }
    restorer.restore(nowUs, tableNumber, weights, levels, retryModes);
    channel.restoreAckNumber(lastAckNumber);
  }

  @Override
  public void onProxyTableReported(long nowUs, int proxyId, int tableNumber, int missingLines) {
    ProxyState proxy = proxies.get(proxyId);
    boolean isRestored =
        tableNumber == proxy.zone && !tables.get(tableNumber).publishedWeights.isEmpty();
    proxy.setMissingLines(isRestored ? OptionalInt.of(missingLines) : OptionalInt.empty());
  }

  @Override
  public void onLoadReport(long nowUs, AttemptReport report) {
    if (estimator.onLoadReport(report)) {
      hold.onAttempts(report.attempts());
    }
  }

  @Override
  public void onUsageReport(
      long nowUs, int proxyId, int requestClass, long requests, long failed, long spanUs) {
    if (proxies.onUsageReport(nowUs, proxyId, requestClass, requests, spanUs)) {
      hold.onRequests(requests);
    }
  }

  @Override
  public void onHealthCheckResult(
      long nowUs, long server, HealthCheckResult result, long tookUs, float[] load) {
    utilization.onHealthCheckResult(server, result, load);
  }

  @Override
  public void onTimer(long nowUs, long token) {
    if (PolicyTimer.CONTROL_PERIOD.matches(token)) {
      clock.onTimer(nowUs);
    } else if (PolicyTimer.ENDPOINT_LIST_WATCH.matches(token)) {
      listWatch.onTimer();
    } else if (PolicyTimer.PUBLISH.matches(token)) {
      publisher.onTimer();
    }
  }

  @Override
  public void onBatchEnd(long nowUs) {
    if (settings.slices() > 0) {
      return;
    }
    if (!clock.isStarted()) {
      start(nowUs);
    }
    if (!tables.isEmpty() && noListedServerServes() && servers.anyServing()) {
      clock.requestRecompute();
    }
    if (clock.isPeriodDue(nowUs)) {
      runControlPeriod(nowUs);
    }
    if (clock.isRecomputeRequested()) {
      clock.beginEarlyRecompute();
      recomputeTables(nowUs);
    }
    publisher.publish(nowUs);
  }

  private void start(long nowUs) {
    clock.start(nowUs);
    channel.start(nowUs);
    listWatch.start();
    runControlPeriod(nowUs);
  }

  private boolean noListedServerServes() {
    return scope.servers().stream().noneMatch(server -> server.share > 0 && server.isServing());
  }

  /** Collects the reports of a control period and computes tables and admission levels. */
  private void runControlPeriod(long nowUs) {
    collect(clock.beginPeriod(nowUs));
    scope.releaseUnusedZones(nowUs);
    scope.refresh();
    hold.update(nowUs);
    utilization.poll(nowUs);
    overload.update(nowUs);
    recomputeTables(nowUs);
    if (hold.isReleased() || !hold.hasRestoredTables()) {
      admission.update(overload.admittedShare());
    }
    servers.deleteExpired(nowUs, tables);
  }

  private void collect(long elapsedUs) {
    estimator.endPeriod(elapsedUs);
    forecast.update(estimator.lastCycleStats());
  }

  /**
   * Computes all tables. This happens once per control period, and at once if a recomputation was
   * requested, for instance after the restart of a server.
   */
  private void recomputeTables(long nowUs) {
    clock.clearRecomputeRequest();
    scope.refresh();
    estimator.estimate();
    slowStart.update(nowUs, scope.servers());
    outliers.update(scope.servers());
    tables.zonesInScope().forEach(weightCalculator::recompute);
    subsets.update();
    weightPublisher.requestPublication();
  }
}
