package pearusher.policy;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Registry of the servers and their incarnations. Memory grows with the number of servers in the
 * endpoint list, plus those removed within the last {@link #RETENTION_DRAIN_GRACES} drain grace
 * periods.
 */
final class ServerRegistry {
  /**
   * Retention time of a removed server, in drain grace periods. No proxy has the server in its
   * table after that time.
   */
  private static final double RETENTION_DRAIN_GRACES = 30;

  private final PolicySettings settings;
  private final PolicyCommands commands;
  private final ControlClock clock;
  private final EjectionQueue ejections;
  private final Map<Long, Server> servers = new TreeMap<>();

  ServerRegistry(
      PolicySettings settings,
      PolicyCommands commands,
      ControlClock clock,
      EjectionQueue ejections) {
    this.settings = settings;
    this.commands = commands;
    this.clock = clock;
    this.ejections = ejections;
  }

  Optional<Server> find(long id) {
    return Optional.ofNullable(servers.get(id));
  }

  /** Returns a registered server; null if there is none of this number. */
  Server get(long id) {
    return servers.get(id);
  }

  boolean contains(long id) {
    return servers.containsKey(id);
  }

  /** Returns all registered servers, ordered by number. */
  Collection<Server> all() {
    return servers.values();
  }

  boolean anyServing() {
    return servers.values().stream().anyMatch(Server::isServing);
  }

  /** Applies an update of the endpoint list. A complete list removes the servers that it omits. */
  void applyUpdate(long nowUs, ListUpdateKind kind, List<ServerEntry> entries) {
    Set<Long> listed = new LinkedHashSet<>();
    for (ServerEntry entry : entries) {
      listed.add(entry.server());
      applyEntry(nowUs, kind, entry);
    }
    if (kind != ListUpdateKind.DELTA) {
      servers.values().stream()
          .filter(server -> !listed.contains(server.id))
          .forEach(server -> ejections.onLifecycle(nowUs, server, Lifecycle.REMOVED));
    }
  }

  private void applyEntry(long nowUs, ListUpdateKind kind, ServerEntry entry) {
    boolean isNew = !servers.containsKey(entry.server());
    if (isNew && entry.lifecycle() == Lifecycle.REMOVED) {
      return;
    }
    Server server = isNew ? add(nowUs, kind, entry) : servers.get(entry.server());
    if (!isNew && isRestart(server, entry)) {
      beginIncarnation(nowUs, server);
    }
    server.zone = Math.min(entry.zone(), settings.zoneCount() - 1);
    server.listedWeight = entry.weight() > 0 ? entry.weight() : 1;
    server.startedUs = entry.startedUs();
    ejections.onLifecycle(nowUs, server, entry.lifecycle());
  }

  private static boolean isRestart(Server server, ServerEntry entry) {
    return entry.startedUs() != server.startedUs && entry.lifecycle() == Lifecycle.READY;
  }

  private Server add(long nowUs, ListUpdateKind kind, ServerEntry entry) {
    long id = entry.server();
    Server server = new Server(id, new SplittableRandom(settings.seed() ^ id).nextLong());
    server.firstListedUs = nowUs;
    servers.put(id, server);
    ejections.raiseStaleEjectionRisk(server, riskOfNewServer(kind, entry));
    return server;
  }

  /**
   * Returns the risk of a server that this process lists for the first time. Its start time does
   * not lower the risk: a server starts again under its id, and proxies exclude the id until they
   * are told otherwise, whichever process ejected it and however long ago.
   */
  private static StaleEjectionRisk riskOfNewServer(ListUpdateKind kind, ServerEntry entry) {
    boolean mayHaveChanged = kind != ListUpdateKind.CACHED || entry.startedUs() > 0;
    return mayHaveChanged ? StaleEjectionRisk.ALL_PROXIES : StaleEjectionRisk.UNCONFIRMED_PROXIES;
  }

  private void beginIncarnation(long nowUs, Server server) {
    server.resetEstimates();
    server.firstListedUs = nowUs;
    clock.requestRecompute();
    ejections.raiseStaleEjectionRisk(server, StaleEjectionRisk.ALL_PROXIES);
  }

  /** Deletes servers whose retention time has passed and that no table lists. */
  void deleteExpired(long nowUs, ZoneTables tables) {
    servers.values().removeIf(server -> deleteIfExpired(nowUs, server, tables));
  }

  private boolean deleteIfExpired(long nowUs, Server server, ZoneTables tables) {
    double retentionUs = RETENTION_DRAIN_GRACES * settings.limits().drainGraceUs();
    boolean expired =
        server.lifecycle == Lifecycle.REMOVED
            && nowUs - server.ejectionChangedUs > retentionUs
            && !ejections.isEjectionPending(server.id)
            && !tables.isPublished(server.id);
    if (expired) {
      tables.clearDueUpdates(server.id);
      commands.discardServer(server.id);
    }
    return expired;
  }
}
