package pearusher.recovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import pearusher.policy.AdmissionLevel;
import pearusher.policy.Idempotency;
import pearusher.policy.Lifecycle;

/**
 * The commands that this assigner has issued and what proxies have acknowledged of them, in the
 * form that is made durable: weights and admission levels of each table, ejections, the table that
 * each proxy follows, and the endpoint list. Each entry carries the event-loop iteration that set
 * it, so what a proxy lacks since an iteration is known without keeping old tables.
 *
 * <p>One thread calls it. The changes of an iteration become durable together or not at all. It
 * grows as {@link LedgerState} and {@link OutstandingAcks} do.
 */
public final class Ledger {
  private final LedgerState state;
  private final OutstandingAcks outstandingAcks = new OutstandingAcks();
  private final LedgerIteration current = new LedgerIteration();
  private final RecoveryTrust trust;
  private final String siteNames;

  /** Whether a proxy that left may have followed another assigner, and hold its tables now. */
  private final boolean isFleetShared;

  private final long epoch;
  private long iteration;
  private long timeUs;
  private int lastAckNumber;

  /**
   * The ledger of a start.
   *
   * @param stored the header of the last record of earlier processes
   */
  Ledger(
      LedgerHeader stored, RecoveryTrust trust, LedgerState state, RecoveryConditions conditions) {
    this.trust = trust;
    this.state = state;
    siteNames = conditions.siteNames();
    isFleetShared = conditions.isFleetShared();
    epoch = stored.epoch() + 1;
    iteration = stored.iteration();
    timeUs = stored.timeUs();
    lastAckNumber = stored.lastAckNumber();
  }

  /** Deletes stored values that this ledger has not taken over. */
  void discard(Collection<LedgerKey> keys) {
    keys.forEach(current::addChange);
  }

  // What was recovered.

  public RecoveryTrust trust() {
    return trust;
  }

  /** The number of this process: one more with each start. */
  public long epoch() {
    return epoch;
  }

  /** The number of the last event-loop iteration that issued a command. */
  public long iteration() {
    return iteration;
  }

  /**
   * The number of the last acknowledgement that was requested, by an earlier process perhaps; later
   * requests must have higher ones.
   */
  public int lastAckNumber() {
    return lastAckNumber;
  }

  /** The generation of the endpoint list. */
  public long generation() {
    return state.listGeneration;
  }

  /** The servers of the endpoint list by name. */
  public Map<String, ListedServer> servers() {
    return Map.copyOf(state.servers);
  }

  /** The numbers of all tables. */
  public Set<Integer> tables() {
    return Set.copyOf(state.tables.keySet());
  }

  /** A table's weights by server, without servers that were taken out. */
  public Map<String, Double> weights(int table) {
    return state.table(table).listedWeights();
  }

  /**
   * A table's admission levels by request class, with retries limited to what is safe for the
   * class.
   *
   * @param idempotencies by request class
   */
  public Map<Integer, AdmissionLevel> admissionLevels(int table, List<Idempotency> idempotencies) {
    return state.table(table).safeAdmissionLevels(idempotencies);
  }

  /** The names of the servers that are ejected. */
  public Set<String> ejectedServers() {
    Set<String> ejected = new HashSet<>();
    state.ejections.forEach(
        (server, ejection) -> {
          if (ejection.isEjected()) {
            ejected.add(server);
          }
        });
    return ejected;
  }

  // Events.

  /**
   * A proxy has joined.
   *
   * @param isFresh the proxy says that it holds no table
   * @return what it lacks of the table that it holds; empty where it needs the complete table
   */
  public Optional<CatchUp> onProxyJoined(int proxy, boolean isFresh) {
    outstandingAcks.forget(proxy);
    ProxyEntry entry = state.proxies.get(proxy);
    if (entry == null) {
      return Optional.empty();
    }
    if (isFresh || isFleetShared) {
      state.proxies.remove(proxy);
      current.addChange(LedgerKey.ofProxy(proxy));
      return Optional.empty();
    }
    return CatchUpBuilder.build(state, entry);
  }

  /** A proxy has left: acknowledgements that it owes will not arrive. */
  public void onProxyLeft(int proxy) {
    outstandingAcks.forget(proxy);
  }

  /** A proxy has acknowledged a request and all before it; one that it was not sent is ignored. */
  public void onAcknowledgement(int proxy, int number) {
    ProxyEntry entry = state.proxies.get(proxy);
    if (entry == null) {
      return;
    }
    OptionalLong acknowledged = outstandingAcks.acknowledge(proxy, number);
    if (acknowledged.isPresent()) {
      state.proxies.put(
          proxy,
          new ProxyEntry(entry.table(), entry.completeIteration(), acknowledged.getAsLong()));
      current.addChange(LedgerKey.ofProxy(proxy));
    }
  }

  /**
   * A start has merged its endpoint list. Servers that it does not name are taken out of all
   * tables, and ready ones are reinstated, so that proxies which hold something else are notified.
   */
  public void onListRecovered(Iterable<ListedServer> servers, long nowUs) {
    Set<String> listed = new HashSet<>();
    for (ListedServer server : servers) {
      listed.add(server.name());
      if (server.lifecycle() == Lifecycle.READY && state.ejections.containsKey(server.name())) {
        setEjected(server.name(), false, nowUs);
      }
    }
    for (int table : tables()) {
      weights(table).keySet().stream()
          .filter(server -> !listed.contains(server))
          .forEach(server -> setWeight(table, server, 0));
    }
    Set<String> unlisted = new HashSet<>(state.ejections.keySet());
    unlisted.addAll(state.servers.keySet());
    unlisted.removeAll(listed);
    unlisted.forEach(this::forgetServer);
    current.addCommand();
  }

  /**
   * The endpoint list has changed.
   *
   * @param isComplete whether servers that are not named are removed
   */
  public void onEndpointList(long generation, boolean isComplete, List<ListedServer> servers) {
    if (isComplete) {
      removeServersExcept(servers);
    }
    if (generation != state.listGeneration) {
      state.listGeneration = generation;
      current.addChange(LedgerKey.LIST_GENERATION);
    }
    for (ListedServer server : servers) {
      if (!server.equals(state.servers.put(server.name(), server))) {
        current.addChange(LedgerKey.ofServer(server.name()));
      }
    }
  }

  private void removeServersExcept(List<ListedServer> listed) {
    Set<String> missing = new HashSet<>(state.servers.keySet());
    listed.forEach(server -> missing.remove(server.name()));
    state.servers.keySet().removeAll(missing);
    missing.forEach(server -> current.addChange(LedgerKey.ofServer(server)));
  }

  /** Forgets a server that was removed from the endpoint list. */
  public void forgetServer(String server) {
    if (state.servers.remove(server) != null) {
      current.addChange(LedgerKey.ofServer(server));
    }
    if (state.ejections.remove(server) != null) {
      current.addChange(LedgerKey.ofEjection(server));
    }
  }

  // Commands.

  /** Sets the weight of a server in a table; 0 takes it out. */
  public void setWeight(int table, String server, double weight) {
    Map<String, WeightEntry> weights = state.table(table).weights;
    if (weight > 0 || weights.containsKey(server)) {
      weights.put(server, new WeightEntry(Math.max(0, weight), iteration + 1));
      current.addCommand(LedgerKey.ofWeight(table, server));
    }
  }

  /** Takes all servers and admission levels out of a table. */
  public void clearTable(int number) {
    weights(number).keySet().forEach(server -> setWeight(number, server, 0));
    LedgerTable table = state.table(number);
    table
        .admissions
        .keySet()
        .forEach(
            requestClass -> current.addChange(LedgerKey.ofAdmissionLevel(number, requestClass)));
    table.admissions.clear();
    // No update says that an admission level is gone: proxies need the complete table.
    setHistoryStart(number, table, iteration + 1);
    current.addCommand();
  }

  private void setHistoryStart(int number, LedgerTable table, long start) {
    table.historyStart = start;
    current.addChange(LedgerKey.ofHistoryStart(number));
  }

  /** Ejects or reinstates a server; no change where it is in that state already. */
  public void setEjected(String server, boolean isEjected, long nowUs) {
    EjectionEntry old = state.ejections.get(server);
    if (old != null && old.isEjected() == isEjected) {
      return;
    }
    state.ejections.put(server, new EjectionEntry(isEjected, iteration + 1, nowUs));
    current.addCommand(LedgerKey.ofEjection(server));
  }

  /**
   * Binds a proxy to one table for all request classes.
   *
   * @param isSentComplete whether it is sent the complete table
   */
  public void bindProxy(int proxy, int table, boolean isSentComplete) {
    ProxyEntry old = state.proxies.get(proxy);
    if (isSentComplete || old == null) {
      state.proxies.put(proxy, new ProxyEntry(table, iteration + 1, 0));
    }
    current.addCommand(LedgerKey.ofProxy(proxy));
  }

  /** A proxy follows several tables, which the ledger does not track: it gets complete ones. */
  public void unbindProxy(int proxy) {
    state.proxies.remove(proxy);
    current.addChange(LedgerKey.ofProxy(proxy));
  }

  /** Sets a table's admission level for one request class. */
  public void setAdmission(int table, int requestClass, AdmissionLevel level) {
    state.table(table).admissions.put(requestClass, new AdmissionEntry(level, iteration + 1));
    current.addCommand(LedgerKey.ofAdmissionLevel(table, requestClass));
  }

  /** The messages of this iteration request an acknowledgement. */
  public void requestAck(int number) {
    lastAckNumber = number;
    current.addAckRequest(number);
  }

  // The end of an iteration.

  /** A message of this iteration is sent to a proxy. */
  public void onMessageSent(int proxy) {
    current.addRecipient(proxy);
  }

  /** Makes this iteration store a record even if nothing changed, as proof of a running process. */
  public void requestHeartbeat() {
    current.requestHeartbeat();
  }

  /**
   * Ends the iteration.
   *
   * @return what is to be made durable; empty for nothing
   */
  public Optional<LedgerChanges> endIteration(long nowUs) {
    if (current.hasCommands()) {
      iteration++;
      current.requestedAck().ifPresent(this::addOutstandingAcks);
    }
    if (!current.isRecordDue()) {
      current.clear();
      return Optional.empty();
    }
    pruneTables();
    timeUs = Math.max(timeUs, nowUs);
    LedgerChanges changes = collectChanges();
    current.clear();
    return Optional.of(changes);
  }

  private void addOutstandingAcks(int number) {
    current.recipients().forEach(proxy -> outstandingAcks.add(proxy, number, iteration));
  }

  private LedgerChanges collectChanges() {
    List<LedgerChanges.Change> changes = new ArrayList<>();
    for (LedgerKey key : current.changedKeys()) {
      changes.add(new LedgerChanges.Change(key.text(), state.encodedValue(key)));
    }
    LedgerHeader header = new LedgerHeader(epoch, iteration, timeUs, lastAckNumber, siteNames);
    changes.add(
        new LedgerChanges.Change(LedgerKey.HEADER.text(), Optional.of(LedgerCodec.encode(header))));
    return new LedgerChanges(changes);
  }

  private void pruneTables() {
    state.tables.forEach(
        (number, table) -> {
          if (table.needsPruning()) {
            prune(number, table);
          }
        });
  }

  /**
   * Drops entries of servers that were taken out, once all proxies of the table have acknowledged
   * that or the entries are too many. In the second case, proxies that lag behind will get the
   * complete table.
   */
  private void prune(int number, LedgerTable table) {
    long acknowledgedByAll =
        state.proxies.values().stream()
            .filter(proxy -> proxy.table() == number)
            .mapToLong(ProxyEntry::acknowledgedIteration)
            .min()
            .orElse(iteration);
    long limit = table.pruneLimit(acknowledgedByAll);
    if (limit > acknowledgedByAll) {
      setHistoryStart(number, table, Math.max(table.historyStart, limit));
    }
    for (String server : table.prune(limit)) {
      current.addChange(LedgerKey.ofWeight(number, server));
    }
  }
}
