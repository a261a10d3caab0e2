package pearusher.policy;

import static java.util.stream.Collectors.toSet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Chooses the servers that tables may list, and releases the tables of zones without proxies here.
 * Where a bind can't carry all serving servers, as many are listed as it can, by a random order of
 * this instance. Grows with the serving servers.
 */
final class ZoneScope {
  /** Drain graces without a proxy of the zone after which its table is released. */
  private static final double RELEASE_GRACES = 30;

  /** Share of the listed servers that come from the zones in scope. */
  private static final double OWN_ZONES_SHARE = 0.75;

  /** A listed server takes its weight and maybe a reinstatement. */
  private static final int LINES_PER_SERVER = 2;

  private final PolicySettings settings;
  private final PolicyCommands commands;
  private final ServerRegistry servers;
  private final ProxyRegistry proxies;
  private final ZoneTables tables;

  /** Entries of a table that a bind can carry, each with a reinstatement. */
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
        channelLimits.linesForServers(channelLimits.maxWaitingLines(ChannelPriority.TIMELY));
    maxListedServers = (long) Math.max(1, bindLines / LINES_PER_SERVER);
  }

  /** The servers that tables may list, as of the last {@link #refresh}; don't modify. */
  List<Server> servers() {
    return listedServers;
  }

  /** The servers in scope that match, in the same order. */
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

  /** Chooses the servers again if the list or the zones in scope have changed. */
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

  /** Whether the table can take no further server: entries of others must end first. */
  boolean isFullFor(ZoneTable table, long server) {
    return !table.lists(server) && table.publishedWeights.size() >= maxListedServers;
  }

  /** Releases the tables of zones that had no proxy here for long. */
  void releaseUnusedZones(long nowUs) {
    proxies.all().forEach(proxy -> tables.get(proxy.zone).recordUse(nowUs));
    double releaseUs = RELEASE_GRACES * settings.limits().drainGraceUs();
    List<Integer> unused =
        tables.all().keySet().stream()
            .filter(number -> tables.get(tables.zoneOf(number)).unusedUs(nowUs) > releaseUs)
            .toList();
    unused.forEach(this::release);
  }

  private void release(int number) {
    tables.remove(number);
    commands.clearTable(number);
    servers.all().forEach(server -> server.releaseZone(number));
    outdated = true;
  }
}
