package pearusher.policy;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The connected proxies, their demand, and how far behind their reports are. Grows with the proxies
 * of this instance and the request classes.
 */
final class ProxyRegistry {
  /** Drain graces after the start until older instances have reinstated what they ejected. */
  private static final double CONFIRMATION_GRACES = 1.5;

  /** A gap between two usage reports longer than this was idle time. */
  private static final double MAX_REPORT_GAP_PERIODS = 0.5;

  /** Share of the message limit that deferrable messages may use. */
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

  /** The proxies by their numbers. */
  Map<Integer, ProxyState> byId() {
    return proxies;
  }

  int size() {
    return proxies.size();
  }

  /** Creates the state of a proxy that joins; {@link #add} registers it. */
  ProxyState create(long nowUs, int zone, double requestsPerSecond, boolean listedChangesOnly) {
    int classCount = settings.requestClasses().size();
    int knownZone = Math.min(zone, settings.zoneCount() - 1);
    ProxyState proxy = new ProxyState(knownZone, !listedChangesOnly, classCount, nowUs);
    Arrays.fill(proxy.requestsPerSecond, Math.max(0, requestsPerSecond) / Math.max(1, classCount));
    return proxy;
  }

  void add(long nowUs, int id, ProxyState proxy) {
    proxies.put(id, proxy);
    double unconfirmedUs = CONFIRMATION_GRACES * settings.limits().drainGraceUs();
    boolean startIsLongAgo = clock.isStarted() && nowUs - clock.startedUs() > unconfirmedUs;
    if (!proxy.holdsTables || startIsLongAgo) {
      proxy.confirm();
      commands.confirmProxy(id);
    }
  }

  void remove(int id) {
    proxies.remove(id);
  }

  /**
   * Counts a usage report.
   *
   * @return whether it was valid
   */
  boolean onUsageReport(long nowUs, int id, int requestClass, long requests, long spanUs) {
    ProxyState proxy = proxies.get(id);
    if (proxy == null || requestClass >= proxy.requestsPerSecond.length || spanUs <= 0) {
      return false;
    }
    long periodUs = settings.controlPeriodUs();
    double decay = EvidenceDecay.factor((double) spanUs, periodUs);
    double gapUs = proxy.reportGapUs(nowUs, requestClass, spanUs);
    // Proxies send no report without requests: a gap was idle time or a lost report, not a late
    // one.
    boolean wasIdle = gapUs > periodUs * MAX_REPORT_GAP_PERIODS;
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
   * How far behind the reports are: the lower quartile over the proxies that reported, or over all.
   * Idle and faulty proxies fall behind alone.
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

  /** The numbers of the proxies that match, in the order of their joining. */
  List<Integer> oldestFirst(Predicate<ProxyState> filter) {
    return proxies.keySet().stream()
        .filter(id -> filter.test(proxies.get(id)))
        .sorted(Comparator.comparingLong(id -> proxies.get(id).joinedUs))
        .toList();
  }

  void dropOldMessages(long nowUs) {
    long windowUs = settings.channel().messageWindowUs();
    proxies.values().forEach(proxy -> proxy.dropMessagesBefore(nowUs, windowUs));
  }

  void onMessageSent(long nowUs, int id) {
    proxies.get(id).recordMessage(nowUs);
  }

  /** Whether one of these proxies may get no further deferrable messages for now. */
  boolean isAnyNearMessageLimit(Collection<Integer> ids) {
    double limit = DEFERRABLE_MESSAGES_SHARE * settings.channel().maxMessagesPerProxy();
    return limit > 0 && ids.stream().anyMatch(id -> proxies.get(id).recentMessageCount() >= limit);
  }
}
