package pearusher.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tinylog.Logger;
import pearusher.config.AssignerConfig;
import pearusher.intake.QueuedReport;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.HealthCheckResult;
import pearusher.policy.Lifecycle;
import pearusher.policy.ListUpdateKind;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;
import pearusher.policy.ServerEntry;
import pearusher.protocol.Endpoint;
import pearusher.protocol.EndpointList;
import pearusher.protocol.Message;
import pearusher.publish.PublishedTables;

/**
 * The only place where the server side, the client side and the module meet. It owns the module,
 * hands events to the one thread on which that runs ({@link EventLoop}), and there passes them on,
 * and the module's orders back: for the streams of proxies to {@link StreamMembership}, for reports
 * to {@link ReportDispatcher}, for the versions of lists to {@link EndpointListState}, for tables
 * and ledger to {@link CommandDispatcher}. It must never do input or output itself, decide
 * anything, nor go on after the module failed. It grows with the servers that are listed.
 */
public class Controller implements PolicyCommands {
  private static final Pattern SERVER = Pattern.compile("\\bserver ([0-9a-f]+)\\b");

  /** What a turn is made of. */
  private final class Turn implements EventLoop.Handler {
    @Override
    public void awaitTick() throws InterruptedException {
      Controller.this.awaitTick();
    }

    @Override
    public boolean isOverloaded() {
      return reports.isOverloaded();
    }

    @Override
    public void deliverDue() {
      reports.deliverDue();
    }

    @Override
    public void onTimer(long token) {
      module.onTimer(loop.nowUs(), token);
    }

    @Override
    public void onIterationEnd() {
      Controller.this.close();
    }
  }

  private final AssignerConfig config;
  private final BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> maker;
  private final EventLoop loop;
  private final BoundedReportQueue queue;
  private final ReportDispatcher reports;

  // All below belongs to the decision thread.
  private final ServerDirectory servers = new ServerDirectory();
  private final PublishedTables tables;
  private final StreamMembership streams;
  private final CommandDispatcher orders;
  private final EndpointListState listState;

  /** What lasts, where the operators switched it on; else null. */
  private final DurablePublisher durable;

  private AssignmentPolicy module;
  private OutboundCalls calls;
  private PeerMessenger mail;

  /** Lists that would have made more servers known than the heap holds. */
  private long refusedLists;

  public Controller(
      AssignerConfig config,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> maker,
      LongSupplier clock,
      Consumer<Throwable> failed) {
    this(config, maker, clock, failed, null, null);
  }

  public Controller(
      AssignerConfig config,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> maker,
      LongSupplier clock,
      Consumer<Throwable> failed,
      DurablePublisher durable,
      SynchronizedIntake intake) {
    this.durable = durable;
    this.config = config;
    this.maker = maker;
    loop = new EventLoop(clock, failed, new Turn());
    queue = new BoundedReportQueue(loop);
    reports =
        new ReportDispatcher(
            loop,
            queue,
            intake,
            config.settings().controlPeriodUs(),
            () -> module,
            servers::number);
    tables = new PublishedTables(config.names().classes(), servers::name);
    streams = new StreamMembership(loop, tables, durable, () -> module, this::numbers);
    orders =
        new CommandDispatcher(
            tables, durable, config.names().classes().size(), servers::name, this::numbers);
    listState = new EndpointListState(config.settings().limits().maxPollIntervalUs());
  }

  /** Microseconds of Unix time, read once and carried on by a clock that never runs back. */
  public static LongSupplier unixClock() {
    long base = System.currentTimeMillis() * 1000;
    long start = System.nanoTime();
    return () -> base + (System.nanoTime() - start) / 1000;
  }

  public void connect(OutboundCalls client, PeerMessenger peers) {
    calls = client;
    mail = peers;
  }

  /**
   * Starts the module with the list last known and takes its first turn, on the caller's thread.
   */
  public void start() {
    loop.start();
    module = maker.apply(config.settings(), this);
    EndpointList known = durable == null ? config.knownServers() : durable.mergedServerList();
    list(ListUpdateKind.CACHED, known);
    if (durable != null) {
      durable.restore(loop.nowUs(), known, servers, tables, module);
    }
    if (!config.settings().endpointListOnRequest()) {
      // Where changes come unasked the module doesn't ask for them.
      watchEndpoints(true);
    }
    close();
  }

  /** The decision thread's work, until it is interrupted or the module fails. */
  public void run() {
    loop.run();
  }

  /** Waits for an event or a timer; what comes without a tick's pause is one turn. */
  public void runIteration() throws InterruptedException {
    loop.runIteration();
  }

  public void awaitTick() throws InterruptedException {
    TimeUnit.MICROSECONDS.sleep(config.settings().tickUs());
  }

  private void close() {
    long now = loop.nowUs();
    module.onBatchEnd(now);
    if (durable == null) {
      tables.publish(now, (proxy, message) -> streams.stream(proxy).send(message));
    } else {
      tables.publish(now, (proxy, message) -> durable.send(proxy, streams.stream(proxy), message));
      durable.commitIteration(now);
    }
  }

  // Events, from any thread.

  /** Work for the decision thread, at the next turn. */
  public void execute(Runnable what) {
    loop.add(what);
  }

  public long droppedReports() {
    return queue.dropped();
  }

  public int pendingEvents() {
    return loop.size();
  }

  /** A proxy's stream has said whose it is. */
  public void onProxyJoined(ProxyStream stream, Message.ProxyJoin what) {
    execute(() -> streams.onProxyJoined(stream, what));
  }

  /** Servers by number, those that are still listed. */
  private Map<Long, Boolean> numbers(Map<String, Boolean> byName) {
    Map<Long, Boolean> out = new TreeMap<>();
    byName.forEach(
        (name, value) -> {
          if (servers.knows(name)) {
            out.put(servers.number(name), value);
          }
        });
    return out;
  }

  /** A stream ended; one whose proxy has joined anew since then unseats nobody. */
  public void onStreamClosed(ProxyStream stream, int proxy) {
    execute(() -> streams.onStreamClosed(stream, proxy));
  }

  /** Counted with the reports: a proxy that answers without end fills no memory either. */
  public void onAcknowledgement(ProxyStream stream, Message.Acknowledgement what) {
    queue.add(() -> streams.onAcknowledgement(stream, what));
  }

  /** A report on a server that no list has named yet is dropped: the proxies' list may be newer. */
  public void onLoadReport(Message.LoadReport what) {
    onLoadReport(what, -1);
  }

  /** {@code origin}: the proxy, or a number below 0 that is the collector's own. */
  public void onLoadReport(Message.LoadReport what, int origin) {
    reports.onLoadReport(what, origin);
  }

  public void onUsageReport(Message.UsageReport what) {
    onUsageReport(what, what.proxy());
  }

  public void onUsageReport(Message.UsageReport what, int origin) {
    reports.onUsageReport(what, origin);
  }

  /** Tells a test of each report that has its turn, on the decision thread. */
  public void setReportListener(Consumer<QueuedReport> listener) {
    reports.listen(listener);
  }

  /** What discovery says, on a watch or as the whole list; older than what is held: passed over. */
  public void onEndpointList(EndpointList what, boolean begins) {
    onEndpointList(what, begins, () -> true);
  }

  /**
   * {@code begins}: the first line of a watch; {@code counts}: whether its call still does, asked
   * in its turn. Guards against the last words of a watch that was moved, which its reader may hand
   * over after the new one's first: a whole list of theirs would count as a discovery that started
   * anew.
   */
  public void onEndpointList(EndpointList what, boolean begins, BooleanSupplier counts) {
    execute(
        () -> {
          if (!counts.getAsBoolean()) {
            return;
          }
          switch (listState.compare(what, begins, loop.nowUs())) {
            case CURRENT ->
                list(what.complete() ? ListUpdateKind.COMPLETE : ListUpdateKind.DELTA, what);
            case OUTDATED ->
                list(
                    ListUpdateKind.DELTA,
                    new EndpointList(listState.generation(), false, List.of()));
            case RESTARTED -> list(ListUpdateKind.COMPLETE, what);
            case LAGGING -> {
              calls.watchEndpoints(false, listState.generation());
              tellListFailed();
            }
          }
        });
  }

  private void tellListFailed() {
    listState.setWatching(false);
    module.onEndpointList(loop.nowUs(), ListUpdateKind.FAILED, List.of());
  }

  /** A call to discovery, or the watch, ended without what it was for. */
  void onEndpointListFailed() {
    onEndpointListFailed(() -> true);
  }

  /** The end of a watch that was moved meanwhile must not count as the end of the new one. */
  public void onEndpointListFailed(BooleanSupplier counts) {
    execute(
        () -> {
          if (counts.getAsBoolean()) {
            tellListFailed();
          }
        });
  }

  /**
   * Discovery may be elsewhere: the watch that runs is begun anew there, before the old address
   * closes it. One that has failed is asked for again by the module, and goes there by itself.
   */
  public void onDiscoveryMoved() {
    execute(
        () -> {
          if (listState.isWatching()) {
            calls.watchEndpoints(true, listState.generation());
          }
        });
  }

  public void onHealthCheckResult(long server, HealthCheckResult end, long tookUs, float[] load) {
    execute(() -> module.onHealthCheckResult(loop.nowUs(), server, end, tookUs, load));
  }

  public void onPeerMessage(int peer, byte[] body) {
    queue.add(() -> module.onPeerMessage(loop.nowUs(), peer, body));
  }

  private void list(ListUpdateKind form, EndpointList what) {
    if (form != ListUpdateKind.CACHED && tooManyKnown(what)) {
      calls.watchEndpoints(false, listState.generation());
      tellListFailed();
      return;
    }
    listState.hold(what.generation());
    List<ServerEntry> entries = new ArrayList<>();
    for (Endpoint one : what.endpoints()) {
      // That a server is gone which nobody knows says nothing, and would be kept for good.
      if (one.lifecycle() == Lifecycle.REMOVED && !servers.knows(one.server())) {
        continue;
      }
      long id = servers.list(one.server(), one.hostPort());
      entries.add(
          new ServerEntry(
              id,
              one.zone(),
              one.machineType(),
              one.cell(),
              one.lifecycle(),
              one.weight(),
              one.startedUs()));
    }
    if (durable != null) {
      durable.listed(what);
    }
    module.onEndpointList(loop.nowUs(), form, entries);
  }

  /**
   * Guards the heap against lists of changes that are short one by one and name new servers without
   * end, and against whole lists that follow each other faster than the module forgets.
   */
  private boolean tooManyKnown(EndpointList what) {
    int room = config.listLimits().maxKnown() - servers.names();
    if (what.endpoints().size() <= room
        || what.endpoints().stream()
                .filter(one -> one.lifecycle() != Lifecycle.REMOVED && !servers.knows(one.server()))
                .count()
            <= room) {
      return false;
    }
    if (Long.bitCount(++refusedLists) == 1) {
      Logger.warn(
          "discovery: with the servers known before, a list of {}",
          config.listLimits().describeMaxKnown());
    }
    return true;
  }

  // Orders, from the module.

  @Override
  public void setWeight(int table, long server, double weight) {
    orders.setWeight(table, server, weight);
  }

  @Override
  public void clearTable(int table) {
    orders.clearTable(table);
  }

  @Override
  public void eject(long server) {
    orders.setEjected(loop.nowUs(), server, true);
  }

  @Override
  public void reinstate(long server) {
    orders.setEjected(loop.nowUs(), server, false);
  }

  @Override
  public void bindProxy(int proxy, int table, int classBits) {
    orders.bindProxy(proxy, table, classBits);
  }

  @Override
  public void confirmProxy(int proxy) {
    tables.confirmProxy(proxy);
  }

  @Override
  public void suspectEjection(long server, boolean all) {
    tables.suspectEjection(server, all);
  }

  @Override
  public void setAdmission(int table, int classBits, double level, int retry) {
    orders.setAdmission(table, classBits, level, retry);
  }

  @Override
  public void requestAck(int number, boolean toAll) {
    orders.requestAck(number, toAll);
  }

  @Override
  public void watchEndpoints(boolean on) {
    listState.setWatching(on);
    calls.watchEndpoints(on, listState.generation());
  }

  @Override
  public void fetchEndpoints() {
    calls.fetchEndpoints();
  }

  @Override
  public void checkHealth(long server) {
    calls.checkHealth(server, servers.hostPort(server));
  }

  @Override
  public void setTimer(long delayUs, long token) {
    loop.setTimer(delayUs, token);
  }

  /** Every server is replaced in time: what is kept of one goes with it. */
  @Override
  public void forgetServer(long server) {
    if (durable != null) {
      durable.ledger().forgetServer(servers.name(server));
    }
    servers.forget(server);
    tables.forgetServer(server);
  }

  /** What is kept by server, proxy and timer, for tests of what must not grow. */
  List<Integer> retainedSizes() {
    return List.of(
        servers.names(), servers.numbers(), streams.size(), loop.timers(), tables.size());
  }

  @Override
  public void sendToPeer(long peer, byte[] body) {
    mail.send((int) peer, body);
  }

  /** The module names servers by number, the log as discovery does. */
  @Override
  public void log(String text) {
    Matcher at = SERVER.matcher(text);
    Logger.info(
        at.replaceAll(
            m -> {
              long id = Long.parseLong(m.group(1), 16);
              return Matcher.quoteReplacement(
                  "server " + Objects.requireNonNullElse(servers.name(id), m.group(1)));
            }));
  }
}
