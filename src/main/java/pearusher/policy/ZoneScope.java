package pearusher.policy;

import static java.util.stream.Collectors.toSet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Selection of the servers that tables may list, and release of the tables of zones without proxies
 * at this instance. If a bind can't carry all serving servers, tables list as many as it can carry,
 * in a random order specific to this instance. Memory grows with the number of serving servers.
 */
final class ZoneScope {
  /** Time without a proxy of a zone after which its table is released, in drain grace periods. */
  private static final double RELEASE_DELAY_DRAIN_GRACES = 30;

  /** Share of the listed servers that come from the zones in scope. */
  private static final double OWN_ZONES_SHARE = 0.75;

  /** Lines of a listed server in a bind: its weight and possibly a reinstatement. */
  private static final int LINES_PER_SERVER = 2;

  private final PolicySettings settings;
  private final PolicyCommands commands;
  private final ServerRegistry servers;
  private final ProxyRegistry proxies;
  private final ZoneTables tables;

  /** Number of entries that a bind can carry if each comes with a reinstatement. */
  private final long maxListedServers;

  private final List<Server> listedServers = new ArrayList<>();
  private boolean outdated;

  ZoneScope(
      PolicySettings settings,
      PolicyCommands commands,
      ServerRegistry servers,
      ProxyRegistry proxies,
      ZoneTables tables,
      ChannelLimits channelLimits) {
    this.settings = settings;
    this.commands = commands;
    this.servers = servers;
    this.proxies = proxies;
    this.tables = tables;
    double bindLines =
        channelLimits.linesForServers(channelLimits.maxBacklogLines(ChannelPriority.TIMELY));
    maxListedServers = (long) Math.max(1, bindLines / LINES_PER_SERVER);
  }

  /**
   * Returns the servers that tables may list, as of the last {@link #refresh}; not to be modified.
   */
  List<Server> servers() {
    return listedServers;
  }

  /** Returns the servers of a zone that tables may list, in the order of {@link #servers}. */
  List<Server> serversOfZone(int zone) {
    return listedServers.stream().filter(server -> server.zone == zone).toList();
  }

  void invalidate() {
    outdated = true;
  }

  boolean isOutdated() {
    return outdated;
  }

  void removeNotServing() {
    listedServers.removeIf(server -> !server.isServing());
  }

  /** Selects the servers again if the endpoint list or the zones in scope have changed. */
  void refresh() {
    if (!outdated) {
      return;
    }
    outdated = false;
    listedServers.clear();
    servers.all().stream().filter(Server::isServing).forEach(listedServers::add);
    if (listedServers.size() > maxListedServers) {
      limitListedServers();
    }
    servers.all().forEach(server -> server.inScope = false);
    listedServers.forEach(server -> server.inScope = true);
  }

  private void limitListedServers() {
    listedServers.sort(Comparator.comparingLong(server -> server.scopeRank));
    List<Integer> zones = tables.zonesInScope();
    long perZone = (long) (OWN_ZONES_SHARE * maxListedServers / Math.max(1, zones.size()));
    Stream<Server> ofZonesInScope =
        zones.stream().flatMap(zone -> serversOfZone(zone).stream().limit(perZone));
    listedServers.retainAll(
        Stream.concat(ofZonesInScope, listedServers.stream())
            .distinct()
            .limit(maxListedServers)
            .collect(toSet()));
  }

  /**
   * Returns whether a server can't be added to a table until other entries are removed; false if
   * the table already lists it.
   */
  boolean isFullFor(ZoneTable table, long server) {
    return !table.lists(server) && table.publishedWeights.size() >= maxListedServers;
  }

  /** Releases the tables of zones that had no proxy at this instance for the release delay. */
  void releaseUnusedZones(long nowUs) {
    proxies.all().forEach(proxy -> tables.get(proxy.zone).recordUse(nowUs));
    double releaseDelayUs = RELEASE_DELAY_DRAIN_GRACES * settings.limits().drainGraceUs();
    List<Integer> unused =
        tables.all().keySet().stream()
            .filter(number -> tables.get(tables.zoneOf(number)).unusedUs(nowUs) > releaseDelayUs)
            .toList();
    unused.forEach(this::release);
  }

  private void release(int number) {
    tables.remove(number);
    commands.clearTable(number);
    servers.all().forEach(server -> server.mergeZoneStatsIntoOthers(number));
    outdated = true;
  }
}
