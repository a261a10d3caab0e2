package pearusher.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.StringJoiner;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tinylog.Logger;
import pearusher.config.AssignerConfig;
import pearusher.policy.AdmissionLevel;
import pearusher.policy.Lifecycle;
import pearusher.protocol.Endpoint;
import pearusher.protocol.EndpointList;
import pearusher.recovery.CatchUp;
import pearusher.recovery.Ledger;
import pearusher.recovery.LedgerChanges;
import pearusher.recovery.LedgerRecovery;
import pearusher.recovery.ListedServer;
import pearusher.recovery.RecoveredServerList;
import pearusher.recovery.RecoveryConditions;
import pearusher.recovery.RecoveryTrust;
import pearusher.store.FileDisk;
import pearusher.store.Store;
import pearusher.store.StoreCopy;

/**
 * The persistence of an assigner with a store: it records commands and acknowledgements in the
 * ledger, and passes the ledger's changes and the messages of each iteration on to the {@link
 * CommitPipeline}. The event-loop thread uses it, but where a method says otherwise. It grows with
 * the ledger.
 */
public final class DurablePublisher implements Persistence, AutoCloseable {

  private final CommitPipeline pipeline;
  private final Ledger ledger;
  private final long heartbeatUs;

  /** Messages of this iteration. */
  private final List<CommitPipeline.PendingMessage> messages = new ArrayList<>();

  /** What the proxies that joined in this iteration lack, until they are bound. */
  private final Map<Integer, CatchUp> catchUpByJoiner = new HashMap<>();

  private long lastCommitUs;

  /**
   * Takes over an open store.
   *
   * @param clock gives microseconds of Unix time
   */
  public DurablePublisher(
      AssignerConfig config, PersistenceOptions options, Store store, LongSupplier clock) {
    Store.Recovered found = store.takeRecovered();
    lastCommitUs = clock.getAsLong();
    heartbeatUs = options.heartbeatUs();
    ledger =
        LedgerRecovery.recover(
            found.state(),
            new RecoveryConditions(
                trustIn(found),
                settingsFingerprint(config),
                lastCommitUs,
                options.maxTrustedAgeUs(),
                config.settings().instances() > 1));
    pipeline = new CommitPipeline(store, options, found.wasAbandoned(), clock);
    StoreEventLog.logRecovery(found, ledger);
  }

  /**
   * Opens the store that the settings name.
   *
   * @throws IOException if it cannot be opened, or is damaged and the settings refuse that
   */
  public static DurablePublisher open(
      AssignerConfig config, PersistenceOptions options, LongSupplier clock) throws IOException {
    FileDisk disk = new FileDisk(options.directory());
    disk.createDirectory();
    return new DurablePublisher(config, options, Store.open(disk, options.storeOptions()), clock);
  }

  private static RecoveryTrust trustIn(Store.Recovered found) {
    if (found.state().containsKey(StoreCopy.MARKER_KEY)) {
      return RecoveryTrust.RESTORED_COPY;
    }
    return found.wasAbandoned() ? RecoveryTrust.ABANDONED : RecoveryTrust.FULL;
  }

  /** Returns the names that give the numbers in the store their meaning. */
  private static String settingsFingerprint(AssignerConfig config) {
    String[] zones = new String[config.names().zones().size()];
    config.names().zones().forEach((name, position) -> zones[position] = name);
    return new StringJoiner(" ")
        .add(config.name())
        .add(String.join(",", config.names().classes()))
        .add(String.join(",", zones))
        .toString();
  }

  /** Starts the store's thread. */
  public void start() {
    pipeline.start();
  }

  // Start.

  @Override
  public EndpointList initialEndpointList(EndpointList configured) {
    RecoveredServerList given =
        new RecoveredServerList(configured.generation(), ListedServers.of(configured.endpoints()));
    RecoveredServerList merged = RecoveredServerList.merge(given, ledger);
    List<Endpoint> endpoints = merged.servers().stream().map(ListedServers::toEndpoint).toList();
    return new EndpointList(merged.generation(), true, endpoints);
  }

  @Override
  public void recover(long nowUs, EndpointList known, Consumer<Ledger> restorer) {
    List<ListedServer> servers =
        known.endpoints().stream()
            .filter(endpoint -> endpoint.lifecycle() != Lifecycle.REMOVED)
            .map(ListedServers::of)
            .toList();
    ledger.onListRecovered(servers, nowUs);
    restorer.accept(ledger);
  }

  // Events, on the event-loop thread.

  @Override
  public Optional<CatchUp> onProxyJoined(int proxy, boolean fresh) {
    Optional<CatchUp> catchUp = ledger.onProxyJoined(proxy, fresh);
    catchUp.ifPresent(lacking -> catchUpByJoiner.put(proxy, lacking));
    return catchUp;
  }

  @Override
  public void onProxyLeft(int proxy) {
    ledger.onProxyLeft(proxy);
  }

  @Override
  public void onAcknowledgement(int proxy, int number) {
    ledger.onAcknowledgement(proxy, number);
  }

  @Override
  public void onEndpointList(EndpointList list) {
    ledger.onEndpointList(list.generation(), list.complete(), ListedServers.of(list.endpoints()));
  }

  // Commands of the policy.

  @Override
  public Optional<CatchUp> bindProxy(int proxy, int table, boolean allClasses) {
    CatchUp lacking = catchUpByJoiner.remove(proxy);
    if (!allClasses) {
      ledger.unbindProxy(proxy);
      return Optional.empty();
    }
    boolean needsCompleteTable = lacking == null || lacking.table() != table;
    ledger.bindProxy(proxy, table, needsCompleteTable);
    return needsCompleteTable ? Optional.empty() : Optional.of(lacking);
  }

  @Override
  public void setWeight(int table, String server, double weight) {
    ledger.setWeight(table, server, weight);
  }

  @Override
  public void clearTable(int table) {
    ledger.clearTable(table);
  }

  @Override
  public void setEjected(String server, boolean isEjected, long nowUs) {
    ledger.setEjected(server, isEjected, nowUs);
  }

  @Override
  public void setAdmission(int table, int requestClass, AdmissionLevel level) {
    ledger.setAdmission(table, requestClass, level);
  }

  @Override
  public void requestAck(int number) {
    ledger.requestAck(number);
  }

  @Override
  public void forgetServer(String server) {
    ledger.forgetServer(server);
  }

  // End of an iteration.

  @Override
  public void send(int proxy, ProxyStream stream, byte[] message) {
    ledger.onMessageSent(proxy);
    messages.add(new CommitPipeline.PendingMessage(stream, message));
  }

  @Override
  public void commitIteration(long nowUs) {
    catchUpByJoiner.clear();
    // No message is sent without a record in the store, whatever caused it.
    if (!messages.isEmpty() || nowUs - lastCommitUs >= heartbeatUs) {
      ledger.requestHeartbeat();
    }
    Optional<LedgerChanges> changes = ledger.endIteration(nowUs);
    if (changes.isPresent()) {
      lastCommitUs = nowUs;
      pipeline.submit(changes.get(), messages, nowUs);
    }
    messages.clear();
    pipeline.checkDeadline();
  }

  /**
   * Gives the store up if a message has waited for it for too long, so that a disk that hangs does
   * not hold up an ejection. To be called regularly, on any thread.
   */
  public void checkDeadline() {
    pipeline.checkDeadline();
  }

  /** Closes the store as {@link #close} does; a fault is logged. */
  public void closeQuietly() {
    try {
      close();
    } catch (IOException e) {
      Logger.warn("store not closed: cause=\"{}\"", e.getMessage());
    }
  }

  /** Whether the store's thread is running. */
  boolean isRunning() {
    return pipeline.isRunning();
  }

  /** Returns the number of iterations whose messages wait for the disk, on any thread. */
  public int pendingIterations() {
    return pipeline.pendingIterations();
  }

  /**
   * Writes what was submitted and closes the store.
   *
   * @throws IOException if the last writes fail
   */
  @Override
  public void close() throws IOException {
    pipeline.close();
  }
}
