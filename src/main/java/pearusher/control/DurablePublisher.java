package pearusher.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.StringJoiner;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import org.tinylog.Logger;
import pearusher.config.AssignerConfig;
import pearusher.policy.AdmissionLevel;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.Lifecycle;
import pearusher.policy.RequestClass;
import pearusher.protocol.Endpoint;
import pearusher.protocol.EndpointList;
import pearusher.publish.PublishedTables;
import pearusher.recovery.CatchUp;
import pearusher.recovery.Ledger;
import pearusher.recovery.LedgerChanges;
import pearusher.recovery.LedgerRecovery;
import pearusher.recovery.ListedServer;
import pearusher.recovery.Outbox;
import pearusher.recovery.RecoveredServerList;
import pearusher.recovery.RecoveryConditions;
import pearusher.recovery.RecoveryTrust;
import pearusher.store.FileDisk;
import pearusher.store.GroupCommitter;
import pearusher.store.Store;
import pearusher.store.StoreCopy;
import pearusher.store.WriteBatch;

/**
 * The assigner's memory on disk, where the operators switched it on: it hands the ledger's turns to
 * the store and keeps each message back until the turn that made it is durable. All but the release
 * of messages runs on the decision thread, which never waits for the disk. It must never decide
 * what a proxy gets: the ledger says what one lacks, the module whether it is bound.
 */
public final class DurablePublisher implements AutoCloseable {

  /** A message on its way to a stream. */
  private record Post(ProxyStream to, byte[] message) {}

  private final LongSupplier clock;
  private final GroupCommitter committer;
  private final Outbox<Post> outbox;
  private final Object lock = new Object();
  private final Ledger ledger;
  private final AssignerConfig config;
  private final List<Post> posts = new ArrayList<>();

  /** Of this turn: what joiners lack, until they are bound. */
  private final Map<Integer, CatchUp> joining = new HashMap<>();

  private final long aliveUs;
  private boolean givenUp;

  /** The store was left behind by an earlier process; the first turn makes it whole. */
  private boolean owning;

  private long lastUs;

  public DurablePublisher(
      AssignerConfig config, PersistenceOptions keeping, Store store, LongSupplier clock) {
    this.config = config;
    this.clock = clock;
    Store.Recovered found = store.takeRecovered();
    lastUs = clock.getAsLong();
    owning = found.wasAbandoned();
    RecoveryTrust doubt =
        found.state().containsKey(StoreCopy.MARKER_KEY)
            ? RecoveryTrust.RESTORED_COPY
            : found.wasAbandoned() ? RecoveryTrust.ABANDONED : RecoveryTrust.FULL;
    ledger =
        LedgerRecovery.recover(
            found.state(),
            new RecoveryConditions(
                doubt,
                names(config),
                lastUs,
                keeping.maxTrustedAgeUs(),
                config.settings().instances() > 1));
    outbox = new Outbox<>(post -> post.to().send(post.message()), keeping.maxCommitDelayUs());
    aliveUs = keeping.heartbeatUs();
    committer =
        new GroupCommitter(
            store,
            keeping.storeOptions(),
            new GroupCommitter.Events() {
              @Override
              public void onFailed(IOException why) {
                giveUp(why.getMessage());
              }

              @Override
              public void onMarkAbandonedFailed(IOException why) {
                Logger.error(
                    "store not marked as given up, begin the next start with an empty directory: "
                        + "cause=\"{}\"",
                    why.getMessage());
              }

              @Override
              public void onCompacted(long tookMs, long logBytes) {
                Logger.info("store compacted: took_ms={} log_bytes={}", tookMs, logBytes);
              }

              @Override
              public void onCompactionFailed(IOException why) {
                Logger.warn("store not compacted: cause=\"{}\"", why.getMessage());
              }
            });
    if (!found.damage().isEmpty()) {
      Logger.warn("store damaged: sequence={} lost=\"{}\"", found.sequence(), found.damage());
    }
    if (found.truncatedBytes() > 0) {
      Logger.info(
          "store end cut: sequence={} bytes={} records={}",
          found.sequence(),
          found.truncatedBytes(),
          found.truncatedRecords());
    }
    Logger.info(
        "store open: sequence={} epoch={} turn={} keys={} closed={} belief=\"{}\"",
        found.sequence(),
        ledger.epoch(),
        ledger.iteration(),
        found.state().size(),
        found.wasClosed() ? "yes" : "no",
        ledger.trust().description());
  }

  /** Opens the store that the settings name. */
  public static DurablePublisher open(
      AssignerConfig config, PersistenceOptions keeping, LongSupplier clock) throws IOException {
    FileDisk disk = new FileDisk(keeping.directory());
    disk.createDirectory();
    return new DurablePublisher(config, keeping, Store.open(disk, keeping.storeOptions()), clock);
  }

  /** What gives numbers in the store their meaning. */
  private static String names(AssignerConfig config) {
    StringJoiner out = new StringJoiner(" ");
    out.add(config.name()).add(String.join(",", config.names().classes()));
    String[] zones = new String[config.names().zones().size()];
    config.names().zones().forEach((name, at) -> zones[at] = name);
    return out.add(String.join(",", zones)).toString();
  }

  // The start.

  /** The list to begin with. */
  EndpointList mergedServerList() {
    List<ListedServer> given =
        config.knownServers().endpoints().stream().map(DurablePublisher::listedServer).toList();
    RecoveredServerList merged =
        RecoveredServerList.merge(
            new RecoveredServerList(config.knownServers().generation(), given), ledger);
    return new EndpointList(
        merged.generation(),
        true,
        merged.servers().stream()
            .map(
                s ->
                    new Endpoint(
                        s.name(),
                        s.hostPort(),
                        s.zone(),
                        s.machineType(),
                        s.cell(),
                        s.lifecycle(),
                        s.weight(),
                        s.startedUs()))
            .toList());
  }

  private static ListedServer listedServer(Endpoint one) {
    return new ListedServer(
        one.server(),
        one.hostPort(),
        one.zone(),
        one.machineType(),
        one.cell(),
        one.lifecycle(),
        one.weight(),
        one.startedUs());
  }

  /** Hands the module and the tables what an earlier process had ordered; names become numbers. */
  void restore(
      long now,
      EndpointList known,
      ServerDirectory servers,
      PublishedTables tables,
      AssignmentPolicy module) {
    ledger.onListRecovered(
        known.endpoints().stream()
            .filter(one -> one.lifecycle() != Lifecycle.REMOVED)
            .map(DurablePublisher::listedServer)
            .toList(),
        now);
    Set<String> out = ledger.ejectedServers();
    out.stream()
        .filter(servers::knows)
        .forEach(name -> tables.restoreEjection(servers.number(name)));
    // With no table there is a mark at least: a proxy must not take a new one for one that it
    // answered.
    Set<Integer> numbers = new TreeSet<>(ledger.tables());
    numbers.add(0);
    for (int number : numbers) {
      Map<Long, Double> weights = new HashMap<>();
      ledger.weights(number).forEach((name, weight) -> weights.put(servers.number(name), weight));
      Map<Integer, AdmissionLevel> levels =
          ledger.admissionLevels(
              number,
              config.settings().requestClasses().stream().map(RequestClass::idempotency).toList());
      Map<Integer, AdmissionLevel> orders = new HashMap<>();
      levels.forEach(
          (k, level) ->
              orders.put(k, new AdmissionLevel(level.probabilityOrRate(), level.retry())));
      tables.restoreTable(number, weights, orders);
      double[] level = new double[config.names().classes().size()];
      int[] retry = new int[level.length];
      for (int k = 0; k < level.length; k++) {
        level[k] = levels.containsKey(k) ? levels.get(k).probabilityOrRate() : 0;
        retry[k] = levels.containsKey(k) ? levels.get(k).retry() : -1;
      }
      module.onTableRestored(now, number, weights, level, retry, ledger.lastAckNumber());
    }
  }

  public void start() {
    committer.start();
  }

  // Events, on the decision thread.

  /** What a proxy that joins lacks of its table; empty where it needs the complete table. */
  Optional<CatchUp> joined(int proxy, boolean fresh) {
    Optional<CatchUp> catchUp = ledger.onProxyJoined(proxy, fresh);
    catchUp.ifPresent(lacks -> joining.put(proxy, lacks));
    return catchUp;
  }

  void left(int proxy) {
    ledger.onProxyLeft(proxy);
  }

  void applied(int proxy, int mark) {
    ledger.onAcknowledgement(proxy, mark);
  }

  void listed(EndpointList what) {
    List<ListedServer> servers =
        what.endpoints().stream().map(DurablePublisher::listedServer).toList();
    ledger.onEndpointList(what.generation(), what.complete(), servers);
  }

  Ledger ledger() {
    return ledger;
  }

  /** A binding: what the proxy lacks if it is bound in the turn in which it joined, else null. */
  CatchUp bound(int proxy, int number, boolean allClasses) {
    CatchUp lacks = joining.remove(proxy);
    if (!allClasses) {
      ledger.unbindProxy(proxy);
      return null;
    }
    boolean whole = lacks == null || lacks.table() != number;
    ledger.bindProxy(proxy, number, whole);
    return whole ? null : lacks;
  }

  void send(int proxy, ProxyStream to, byte[] message) {
    ledger.onMessageSent(proxy);
    posts.add(new Post(to, message));
  }

  /** The end of a turn: its changes go to the store, its messages wait for that. */
  void commitIteration(long now) {
    joining.clear();
    if (now - lastUs >= aliveUs) {
      ledger.requestHeartbeat();
    }
    if (!posts.isEmpty()) {
      // No message goes by a store, whatever ordered it.
      ledger.requestHeartbeat();
    }
    Optional<LedgerChanges> changes = ledger.endIteration(now);
    synchronized (lock) {
      if (changes.isPresent()) {
        lastUs = now;
        commit(changes.get(), outbox.offer(posts, now));
      }
      posts.clear();
      checkDeadline();
    }
  }

  private void commit(LedgerChanges changes, long commitNumber) {
    if (commitNumber == Outbox.SENT) {
      return;
    }
    WriteBatch batch = new WriteBatch();
    changes.forEach(batch::put, batch::delete);
    if (owning) {
      owning = false;
      committer.submitAndClearAbandoned(batch, () -> confirmed(commitNumber));
    } else {
      committer.submit(batch, () -> confirmed(commitNumber));
    }
  }

  /** Called now and then, on any thread: a disk that hangs must not hold up a drain. */
  public void checkDeadline() {
    synchronized (lock) {
      if (!givenUp && outbox.isOverdue(clock.getAsLong())) {
        giveUp("an order waited for the disk longer than store.patience");
      }
    }
  }

  private void confirmed(long ticket) {
    synchronized (lock) {
      outbox.release(ticket);
    }
  }

  /** Said once: from here on the assigner is as without a store. */
  private void giveUp(String why) {
    synchronized (lock) {
      if (!givenUp) {
        givenUp = true;
        Logger.error("store given up: waiting={} cause=\"{}\"", outbox.size(), why);
        // Begun first, not waited for: orders may be out before it is durable (docs/ROADMAP.md).
        committer.markAbandoned();
        outbox.abandon();
      }
    }
  }

  /** An orderly end: what waits is written; a fault here is said and ends nothing. */
  public void closeQuietly() {
    try {
      close();
    } catch (IOException e) {
      Logger.warn("store not closed: cause=\"{}\"", e.getMessage());
    }
  }

  /** The store's thread is there. */
  boolean running() {
    return committer.isRunning();
  }

  /** Turns whose messages wait for the disk. */
  public int pendingIterations() {
    synchronized (lock) {
      return outbox.size();
    }
  }

  @Override
  public void close() throws IOException {
    committer.close();
  }
}
