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
 * The durable record of the commands that this assigner has issued and of the acknowledgements of
 * proxies: weights and admission levels of each table, ejections, the table that each proxy
 * follows, and the endpoint list. Each entry contains the event-loop iteration that set it. The
 * entries that a proxy is missing since an iteration can therefore be computed without storing old
 * tables.
 *
 * <p>One thread calls it. The changes of an iteration become durable together or not at all. Memory
 * grows with the tables and their entries, the servers, the proxies and their unacknowledged
 * requests.
 */
public final class Ledger {
  private final LedgerState state;
  private final OutstandingAcks outstandingAcks = new OutstandingAcks();
  private final LedgerIteration currentIteration = new LedgerIteration();
  private final LedgerPruner pruner;
  private final RecoveryTrust trust;
  private final String configuredNames;

  /**
   * Whether there are other assigners. A proxy that left may then have followed one of them, and
   * now have its tables.
   */
  private final boolean hasOtherAssigners;

  private final long epoch;
  private long iteration;
  private long timeUs;
  private int lastAckNumber;

  /**
   * Creates the ledger of a new process.
   *
   * @param stored the header of the last record that an earlier process wrote
   */
  Ledger(
      LedgerHeader stored, RecoveryTrust trust, LedgerState state, RecoveryConditions conditions) {
    this.trust = trust;
    this.state = state;
    pruner = new LedgerPruner(state, currentIteration);
    configuredNames = conditions.configuredNames();
    hasOtherAssigners = conditions.hasOtherAssigners();
    epoch = stored.epoch() + 1;
    iteration = stored.iteration();
    timeUs = stored.timeUs();
    lastAckNumber = stored.lastAckNumber();
  }

  /** Deletes stored values that were not loaded into this ledger, with its first record. */
  void deleteStored(Collection<LedgerKey> keys) {
    keys.forEach(currentIteration::addChange);
  }

  /** Returns how far the stored values were trusted when the ledger was recovered. */
  public RecoveryTrust trust() {
    return trust;
  }

  /** Returns the number of this process, which increases by one with each start. */
  public long epoch() {
    return epoch;
  }

  /** Returns the number of the last event-loop iteration that issued a command. */
  public long iteration() {
    return iteration;
  }

  /**
   * Returns the number of the last acknowledgement that this or an earlier process requested. Later
   * requests must have higher numbers.
   */
  public int lastAckNumber() {
    return lastAckNumber;
  }

  /** Returns the generation of the endpoint list. */
  public long generation() {
    return state.listGeneration;
  }

  /** Returns the servers of the endpoint list by name. */
  public Map<String, ListedServer> servers() {
    return Map.copyOf(state.servers);
  }

  /** Returns the numbers of all tables. */
  public Set<Integer> tables() {
    return Set.copyOf(state.tables.keySet());
  }

  /** Returns the weights of a table by server, without removed servers. */
  public Map<String, Double> weights(int table) {
    return state.table(table).currentWeights();
  }

  /**
   * Returns the admission levels of a table by request class, with retry modes limited to those
   * that are safe for the class.
   *
   * @param idempotencies idempotency of each request class
   */
  public Map<Integer, AdmissionLevel> admissionLevels(int table, List<Idempotency> idempotencies) {
    return state.table(table).admissionLevelsWithSafeRetries(idempotencies);
  }

  /** Returns the names of the ejected servers. */
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

  /**
   * Handles a proxy that has joined.
   *
   * @param isFresh whether the proxy reports that it has no table
   * @return the missing entries of the proxy's table; empty if it needs the complete table
   */
  public Optional<CatchUp> onProxyJoined(int proxy, boolean isFresh) {
    outstandingAcks.removeProxy(proxy);
    ProxyEntry entry = state.proxies.get(proxy);
    if (entry == null) {
      return Optional.empty();
    }
    if (isFresh || hasOtherAssigners) {
      state.proxies.remove(proxy);
      currentIteration.addChange(LedgerKey.ofProxy(proxy));
      return Optional.empty();
    }
    return CatchUpBuilder.build(state, entry);
  }

  /** Handles a proxy that has left. Its outstanding acknowledgements will not arrive. */
  public void onProxyLeft(int proxy) {
    outstandingAcks.removeProxy(proxy);
  }

  /**
   * Handles the acknowledgement of a request and all earlier ones. The acknowledgement of a request
   * that was not sent to the proxy is ignored.
   */
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
      currentIteration.addChange(LedgerKey.ofProxy(proxy));
    }
  }

  /**
   * Handles the endpoint list that a start has merged. Servers that are not on the list are removed
   * from all tables, and ready servers are reinstated. Proxies with a different state are thereby
   * notified.
   *
   * @param nowUs Unix time in microseconds
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
    unlisted.forEach(this::discardServer);
    currentIteration.addCommand();
  }

  /**
   * Handles a change of the endpoint list.
   *
   * @param isComplete whether the list is complete, so that all other servers are removed
   */
  public void onEndpointList(long generation, boolean isComplete, List<ListedServer> servers) {
    if (isComplete) {
      removeServersExcept(servers);
    }
    if (generation != state.listGeneration) {
      state.listGeneration = generation;
      currentIteration.addChange(LedgerKey.LIST_GENERATION);
    }
    for (ListedServer server : servers) {
      if (!server.equals(state.servers.put(server.name(), server))) {
        currentIteration.addChange(LedgerKey.ofServer(server.name()));
      }
    }
  }

  private void removeServersExcept(List<ListedServer> listed) {
    Set<String> removed = new HashSet<>(state.servers.keySet());
    listed.forEach(server -> removed.remove(server.name()));
    state.servers.keySet().removeAll(removed);
    removed.forEach(server -> currentIteration.addChange(LedgerKey.ofServer(server)));
  }

  /** Deletes the endpoint and the ejection state of a server that left the endpoint list. */
  public void discardServer(String server) {
    if (state.servers.remove(server) != null) {
      currentIteration.addChange(LedgerKey.ofServer(server));
    }
    if (state.ejections.remove(server) != null) {
      currentIteration.addChange(LedgerKey.ofEjection(server));
    }
  }

  /** Sets the weight of a server in a table; 0 removes the server from the table. */
  public void setWeight(int table, String server, double weight) {
    Map<String, WeightEntry> weights = state.table(table).weights;
    if (weight > 0 || weights.containsKey(server)) {
      weights.put(server, new WeightEntry(Math.max(0, weight), iteration + 1));
      currentIteration.addCommand(LedgerKey.ofWeight(table, server));
    }
  }

  /** Removes all servers and admission levels from a table. */
  public void clearTable(int number) {
    weights(number).keySet().forEach(server -> setWeight(number, server, 0));
    LedgerTable table = state.table(number);
    table
        .admissions
        .keySet()
        .forEach(
            requestClass ->
                currentIteration.addChange(LedgerKey.ofAdmissionLevel(number, requestClass)));
    table.admissions.clear();
    // Updates can't express the removal of an admission level, so proxies need the complete table.
    table.historyStart = iteration + 1;
    currentIteration.addChange(LedgerKey.ofHistoryStart(number));
    currentIteration.addCommand();
  }

  /**
   * Ejects or reinstates a server, unless it is already in that state.
   *
   * @param nowUs Unix time in microseconds
   */
  public void setEjected(String server, boolean isEjected, long nowUs) {
    EjectionEntry old = state.ejections.get(server);
    if (old != null && old.isEjected() == isEjected) {
      return;
    }
    state.ejections.put(server, new EjectionEntry(isEjected, iteration + 1, nowUs));
    currentIteration.addCommand(LedgerKey.ofEjection(server));
  }

  /**
   * Records that proxies may exclude a server because of an ejection that this ledger does not have
   * or has discarded. A proxy that is missing the server's weight is then sent the reinstatement
   * with it.
   *
   * @param nowUs Unix time in microseconds
   */
  public void onStaleEjectionRisk(String server, long nowUs) {
    if (!state.ejections.containsKey(server)) {
      setEjected(server, false, nowUs);
    }
  }

  /**
   * Binds a proxy to one table for all request classes.
   *
   * @param isCompleteTableSent whether the proxy is sent the complete table
   */
  public void bindProxy(int proxy, int table, boolean isCompleteTableSent) {
    ProxyEntry old = state.proxies.get(proxy);
    if (isCompleteTableSent || old == null) {
      state.proxies.put(proxy, new ProxyEntry(table, iteration + 1, 0));
    }
    currentIteration.addCommand(LedgerKey.ofProxy(proxy));
  }

  /**
   * Deletes the binding of a proxy that follows several tables. The ledger does not track several
   * tables, so such a proxy needs complete tables when it rejoins.
   */
  public void unbindProxy(int proxy) {
    state.proxies.remove(proxy);
    currentIteration.addChange(LedgerKey.ofProxy(proxy));
  }

  /** Sets the admission level of a table for one request class. */
  public void setAdmission(int table, int requestClass, AdmissionLevel level) {
    state.table(table).admissions.put(requestClass, new AdmissionEntry(level, iteration + 1));
    currentIteration.addCommand(LedgerKey.ofAdmissionLevel(table, requestClass));
  }

  /** Records that the messages of this iteration request an acknowledgement. */
  public void requestAck(int number) {
    lastAckNumber = number;
    currentIteration.addAckRequest(number);
  }

  /** Records that a message of this iteration is sent to a proxy. */
  public void onMessageSent(int proxy) {
    currentIteration.addRecipient(proxy);
  }

  /**
   * Makes this iteration store a record even if nothing changed. The time in the record shows that
   * the process was still running.
   */
  public void requestHeartbeat() {
    currentIteration.requestHeartbeat();
  }

  /**
   * Ends the iteration.
   *
   * @param nowUs Unix time in microseconds
   * @return the changes to make durable; empty if there are none
   */
  public Optional<LedgerChanges> endIteration(long nowUs) {
    if (currentIteration.hasCommands()) {
      iteration++;
      currentIteration.requestedAck().ifPresent(this::addOutstandingAcks);
    }
    if (!currentIteration.isRecordDue()) {
      currentIteration.clear();
      return Optional.empty();
    }
    pruner.prune(iteration);
    timeUs = Math.max(timeUs, nowUs);
    LedgerChanges changes = collectChanges();
    currentIteration.clear();
    return Optional.of(changes);
  }

  private void addOutstandingAcks(int number) {
    currentIteration.recipients().forEach(proxy -> outstandingAcks.add(proxy, number, iteration));
  }

  private LedgerChanges collectChanges() {
    List<LedgerChanges.Change> changes = new ArrayList<>();
    for (LedgerKey key : currentIteration.changedKeys()) {
      changes.add(new LedgerChanges.Change(key.text(), state.encodedValue(key)));
    }
    LedgerHeader header =
        new LedgerHeader(epoch, iteration, timeUs, lastAckNumber, configuredNames);
    changes.add(
        new LedgerChanges.Change(LedgerKey.HEADER.text(), Optional.of(LedgerCodec.encode(header))));
    return new LedgerChanges(changes);
  }
}
