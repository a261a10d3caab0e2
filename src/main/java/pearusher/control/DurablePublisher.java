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
 * The persistence of an assigner with a store. It records commands and acknowledgements in the
 * ledger, and passes the ledger's changes and the messages of each iteration to the {@link
 * CommitPipeline}. Only the event-loop thread may call its methods, unless a method is documented
 * otherwise. Its size grows with the ledger.
 */
public final class DurablePublisher implements Persistence, AutoCloseable {

  private final CommitPipeline pipeline;
  private final Ledger ledger;
  private final long heartbeatUs;

  /** Messages of the current iteration. */
  private final List<CommitPipeline.PendingMessage> messages = new ArrayList<>();

  /** Catch-ups of the proxies that joined in this iteration and are not bound yet. */
  private final Map<Integer, CatchUp> catchUpByJoiningProxy = new HashMap<>();

  private long lastCommitUs;

  /**
   * Creates a publisher that owns an open store.
   *
   * @param clock returns the Unix time in microseconds
   */
  public DurablePublisher(
      AssignerConfig config, PersistenceOptions options, Store store, LongSupplier clock) {
    Store.Recovered recovered = store.releaseRecovered();
    lastCommitUs = clock.getAsLong();
    heartbeatUs = options.heartbeatUs();
    ledger =
        LedgerRecovery.recover(
            recovered.state(),
            new RecoveryConditions(
                trustOf(recovered),
                settingsFingerprint(config),
                lastCommitUs,
                options.maxTrustedAgeUs(),
                config.settings().instances() > 1));
    pipeline = new CommitPipeline(store, options, recovered.wasAbandoned(), clock);
    StoreEventLog.logRecovery(recovered, ledger);
  }

  /**
   * Opens the store in the directory of the options, which is created if necessary.
   *
   * @param clock returns the Unix time in microseconds
   * @throws IOException if the store cannot be opened, or is damaged and the options reject a
   *     damaged store
   */
  public static DurablePublisher open(
      AssignerConfig config, PersistenceOptions options, LongSupplier clock) throws IOException {
    FileDisk disk = new FileDisk(options.directory());
    disk.createDirectory();
    return new DurablePublisher(config, options, Store.open(disk, options.storeOptions()), clock);
  }

  private static RecoveryTrust trustOf(Store.Recovered recovered) {
    if (recovered.state().containsKey(StoreCopy.MARKER_KEY)) {
      return RecoveryTrust.RESTORED_COPY;
    }
    return recovered.wasAbandoned() ? RecoveryTrust.ABANDONED : RecoveryTrust.FULL;
  }

  /**
   * Returns the names of the assigner, classes and zones, to which the numbers in the store refer.
   */
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

  @Override
  public EndpointList initialEndpointList(EndpointList configured) {
    RecoveredServerList configuredList =
        new RecoveredServerList(configured.generation(), ListedServers.of(configured.endpoints()));
    RecoveredServerList merged = RecoveredServerList.merge(configuredList, ledger);
    List<Endpoint> endpoints = merged.servers().stream().map(ListedServers::toEndpoint).toList();
    return new EndpointList(merged.generation(), true, endpoints);
  }

  @Override
  public void recover(long nowUs, EndpointList initialList, Consumer<Ledger> restorer) {
    List<ListedServer> servers =
        initialList.endpoints().stream()
            .filter(endpoint -> endpoint.lifecycle() != Lifecycle.REMOVED)
            .map(ListedServers::of)
            .toList();
    ledger.onListRecovered(servers, nowUs);
    restorer.accept(ledger);
  }

  @Override
  public Optional<CatchUp> onProxyJoined(int proxy, boolean isFresh) {
    Optional<CatchUp> catchUp = ledger.onProxyJoined(proxy, isFresh);
    catchUp.ifPresent(missing -> catchUpByJoiningProxy.put(proxy, missing));
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

  @Override
  public Optional<CatchUp> bindProxy(int proxy, int table, boolean coversAllClasses) {
    CatchUp catchUp = catchUpByJoiningProxy.remove(proxy);
    if (!coversAllClasses) {
      ledger.unbindProxy(proxy);
      return Optional.empty();
    }
    boolean needsCompleteTable = catchUp == null || catchUp.table() != table;
    ledger.bindProxy(proxy, table, needsCompleteTable);
    return needsCompleteTable ? Optional.empty() : Optional.of(catchUp);
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
  public void onStaleEjectionRisk(String server, long nowUs) {
    ledger.onStaleEjectionRisk(server, nowUs);
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
  public void discardServer(String server) {
    ledger.discardServer(server);
  }

  @Override
  public void send(int proxy, ProxyStream stream, byte[] message) {
    ledger.onMessageSent(proxy);
    messages.add(new CommitPipeline.PendingMessage(stream, message));
  }

  @Override
  public void commitIteration(long nowUs) {
    catchUpByJoiningProxy.clear();
    // Every iteration that sends a message is recorded in the store, even if the ledger is
    // unchanged.
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
   * Abandons the store if a message has waited for it longer than the maximum commit delay, so that
   * a hanging disk does not delay ejections. Must be called regularly; any thread may call it.
   */
  public void checkDeadline() {
    pipeline.checkDeadline();
  }

  /**
   * Writes the submitted changes and closes the store; logs an exception instead of throwing it.
   */
  public void closeQuietly() {
    try {
      close();
    } catch (IOException e) {
      Logger.warn("store could not be closed: cause=\"{}\"", e.getMessage());
    }
  }

  /** Returns whether the store's thread is running. */
  boolean isRunning() {
    return pipeline.isRunning();
  }

  /** Returns the number of iterations whose messages wait for the disk; any thread may call it. */
  public int pendingIterations() {
    return pipeline.pendingIterations();
  }

  /**
   * Writes the submitted changes and closes the store.
   *
   * @throws IOException if the last writes fail
   */
  @Override
  public void close() throws IOException {
    pipeline.close();
  }
}
