package pearusher.policy;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Registry of the connected proxies, their demand, and the lag of their reports. Memory grows with
 * the number of proxies of this instance times the number of request classes.
 */
final class ProxyRegistry {
  /**
   * Time after the start until older instances have reinstated the servers that they ejected, in
   * drain grace periods.
   */
  private static final double CONFIRMATION_DELAY_DRAIN_GRACES = 1.5;

  /** Longest gap between two usage reports that does not count as idle time, in control periods. */
  private static final double MAX_REPORT_GAP_CONTROL_PERIODS = 0.5;

  /** Share of the message limit of a proxy that deferrable messages may use. */
  private static final double DEFERRABLE_MESSAGES_SHARE = 0.5;

  private final PolicySettings settings;
  private final PolicyCommands commands;
  private final ControlClock clock;
  private final Map<Integer, ProxyState> proxies = new TreeMap<>();

  ProxyRegistry(PolicySettings settings, PolicyCommands commands, ControlClock clock) {
    this.settings = settings;
    this.commands = commands;
    this.clock = clock;
  }

  ProxyState get(int id) {
    return proxies.get(id);
  }

  Collection<ProxyState> all() {
    return proxies.values();
  }

  /** Returns the proxies by number. */
  Map<Integer, ProxyState> byId() {
    return proxies;
  }

  int size() {
    return proxies.size();
  }

  /** Creates the state of a joining proxy, which {@link #add} registers. */
  ProxyState create(long nowUs, int zone, double requestsPerSecond, boolean listedChangesOnly) {
    int classCount = settings.requestClasses().size();
    int knownZone = Math.min(zone, settings.zoneCount() - 1);
    ProxyState proxy = new ProxyState(knownZone, !listedChangesOnly, classCount, nowUs);
    Arrays.fill(proxy.requestsPerSecond, Math.max(0, requestsPerSecond) / Math.max(1, classCount));
    return proxy;
  }

  void add(long nowUs, int id, ProxyState proxy) {
    proxies.put(id, proxy);
    double confirmationDelayUs = CONFIRMATION_DELAY_DRAIN_GRACES * settings.limits().drainGraceUs();
    boolean delayPassed = clock.isStarted() && nowUs - clock.startedUs() > confirmationDelayUs;
    if (!proxy.joinedWithTables || delayPassed) {
      proxy.confirm();
      commands.confirmProxy(id);
    }
  }

  void remove(int id) {
    proxies.remove(id);
  }

  /**
   * Updates the demand and the report coverage of a proxy by a usage report.
   *
   * @return whether the report was valid
   */
  boolean onUsageReport(long nowUs, int id, int requestClass, long requests, long spanUs) {
    ProxyState proxy = proxies.get(id);
    if (proxy == null || requestClass >= proxy.requestsPerSecond.length || spanUs <= 0) {
      return false;
    }
    long periodUs = settings.controlPeriodUs();
    double decay = ReportDecay.factor((double) spanUs, periodUs);
    double gapUs = proxy.reportGapUs(nowUs, requestClass, spanUs);
    // Proxies send no reports without requests: a gap is idle time or a lost report, not a late
    // report.
    boolean wasIdle = gapUs > periodUs * MAX_REPORT_GAP_CONTROL_PERIODS;
    proxy.recordReport(nowUs, requestClass, spanUs + (wasIdle ? gapUs : 0));
    proxy.updateDemand(requestClass, decay, requests, spanUs);
    return true;
  }

  double requestsPerSecond(int requestClass) {
    return proxies.values().stream()
        .mapToDouble(proxy -> proxy.requestsPerSecond[requestClass])
        .sum();
  }

  /**
   * Returns the lag of the usage reports, in microseconds. It is the lower quartile over the
   * proxies that have reported, or over all proxies if none has, so that idle and faulty proxies do
   * not raise it.
   */
  double reportLagUs(long nowUs) {
    boolean anyReported = proxies.values().stream().anyMatch(ProxyState::hasReported);
    double[] lags =
        proxies.values().stream()
            .filter(proxy -> proxy.hasReported() || !anyReported)
            .mapToDouble(proxy -> proxy.reportLagUs(nowUs))
            .sorted()
            .toArray();
    return lags.length == 0 ? 0 : lags[lags.length / 4];
  }

  /** Returns the numbers of the matching proxies, in the order in which they joined. */
  List<Integer> oldestFirst(Predicate<ProxyState> filter) {
    return proxies.keySet().stream()
        .filter(id -> filter.test(proxies.get(id)))
        .sorted(Comparator.comparingLong(id -> proxies.get(id).joinedUs))
        .toList();
  }

  void removeExpiredMessages(long nowUs) {
    long windowUs = settings.channel().messageWindowUs();
    proxies.values().forEach(proxy -> proxy.removeExpiredMessages(nowUs, windowUs));
  }

  void onMessageSent(long nowUs, int id) {
    proxies.get(id).recordMessage(nowUs);
  }

  /** Returns whether one of these proxies may currently get no further deferrable messages. */
  boolean isAnyNearMessageLimit(Collection<Integer> ids) {
    double limit = DEFERRABLE_MESSAGES_SHARE * settings.channel().maxMessagesPerProxy();
    return limit > 0 && ids.stream().anyMatch(id -> proxies.get(id).recentMessageCount() >= limit);
  }
}
