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
 * All known servers and their incarnations. Grows with the servers that the endpoint list names,
 * and with those removed in the last {@link #RETENTION_GRACES} drain graces.
 */
final class ServerRegistry {
  /** Drain graces after which a removed server is forgotten: no proxy holds it then. */
  private static final double RETENTION_GRACES = 30;

  private final PolicySettings settings;
  private final PolicyCommands commands;
  private final ControlClock clock;
  private final EjectionQueue ejections;
  private final Map<Long, Server> servers = new TreeMap<>();

  /** Whether a server was ever forgotten: a number that returns may be ejected somewhere. */
  private boolean forgotAny;

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

  /** A server that is known to be registered. */
  Server get(long id) {
    return servers.get(id);
  }

  boolean contains(long id) {
    return servers.containsKey(id);
  }

  /** All known servers, by their numbers. */
  Collection<Server> all() {
    return servers.values();
  }

  boolean anyServing() {
    return servers.values().stream().anyMatch(Server::isServing);
  }

  /** Applies an update of the endpoint list. A complete list removes the servers it leaves out. */
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

  private StaleEjectionRisk riskOfNewServer(ListUpdateKind kind, ServerEntry entry) {
    // Nobody can have ejected a server that started after this process, unless its number returned.
    if (clock.isStarted() && entry.startedUs() > clock.startedUs() && !forgotAny) {
      return StaleEjectionRisk.NONE;
    }
    boolean mayHaveChanged = kind != ListUpdateKind.CACHED || entry.startedUs() > 0;
    return mayHaveChanged ? StaleEjectionRisk.ALL_PROXIES : StaleEjectionRisk.UNCONFIRMED_PROXIES;
  }

  private void beginIncarnation(long nowUs, Server server) {
    server.resetEstimates();
    server.firstListedUs = nowUs;
    clock.requestRecompute();
    ejections.raiseStaleEjectionRisk(server, StaleEjectionRisk.ALL_PROXIES);
  }

  /** Forgets servers that were removed long ago and that no table lists. */
  void forgetRemoved(long nowUs, ZoneTables tables) {
    servers.values().removeIf(server -> forgetIfRemoved(nowUs, server, tables));
  }

  private boolean forgetIfRemoved(long nowUs, Server server, ZoneTables tables) {
    double retentionUs = RETENTION_GRACES * settings.limits().drainGraceUs();
    boolean expired =
        server.lifecycle == Lifecycle.REMOVED
            && nowUs - server.ejectionChangedUs > retentionUs
            && !ejections.isEjectionPending(server.id)
            && !tables.isPublished(server.id);
    if (expired) {
      tables.forgetServer(server.id);
      commands.forgetServer(server.id);
      forgotAny = true;
    }
    return expired;
  }
}
