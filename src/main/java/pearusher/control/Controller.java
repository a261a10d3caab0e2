package pearusher.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tinylog.Logger;
import pearusher.config.AssignerConfig;
import pearusher.intake.QueuedReport;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.HealthCheckResult;
import pearusher.policy.Idempotency;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;
import pearusher.policy.RequestClass;
import pearusher.protocol.EndpointList;
import pearusher.protocol.Message;
import pearusher.publish.PublishedTables;

/**
 * Wires the policy to its surroundings: it owns the policy, takes events from any thread to the one
 * event-loop thread on which the policy runs, and ends each iteration of the loop by publishing
 * what the policy commanded. It does no I/O and decides nothing.
 *
 * <p>Its parts grow with the servers that are listed and the proxies that are joined.
 */
public class Controller implements ProxyEvents, DiscoveryEvents, PeerEvents {
  private final AssignerConfig config;
  private final BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> policyFactory;
  private final Persistence persistence;
  private final EventLoop loop;
  private final BoundedReportQueue reportQueue;
  private final ReportDispatcher reports;

  // All below belongs to the event-loop thread.

  private final ServerDirectory servers = new ServerDirectory();
  private final PublishedTables tables;
  private final StreamMembership streams;
  private final EndpointListHandler endpointLists;
  private final PolicyCommands commands;
  private OutboundPorts outbound;
  private AssignmentPolicy policy;

  /** Handles the parts of an iteration besides its events. */
  private final class IterationHandler implements EventLoop.Handler {
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
      policy.onTimer(loop.nowUs(), token);
    }

    @Override
    public void onIterationEnd() {
      endIteration();
    }
  }

  /** Makes a controller without persistence and intake. */
  public Controller(
      AssignerConfig config,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> policyFactory,
      LongSupplier clock,
      Consumer<Throwable> failureHandler) {
    this(config, policyFactory, clock, failureHandler, Persistence.none(), Optional.empty());
  }

  /**
   * Makes a controller; the policy itself is made by {@link #start}.
   *
   * @param clock gives microseconds of Unix time
   * @param failureHandler called with what ended the event loop
   * @param intake queues reports; if empty, each is an event of its own
   */
  public Controller(
      AssignerConfig config,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> policyFactory,
      LongSupplier clock,
      Consumer<Throwable> failureHandler,
      Persistence persistence,
      Optional<SynchronizedIntake> intake) {
    this.config = config;
    this.policyFactory = policyFactory;
    this.persistence = persistence;
    loop = new EventLoop(clock, failureHandler, new IterationHandler());
    reportQueue = new BoundedReportQueue(loop);
    reports = intake.map(this::intakeDispatcher).orElseGet(this::directDispatcher);
    tables = new PublishedTables(config.names().classes(), servers::name);
    streams = new StreamMembership(loop, servers, tables, persistence, () -> policy);
    endpointLists =
        new EndpointListHandler(loop, servers, persistence, () -> policy, () -> outbound, config);
    commands =
        new CommandDispatcher(
            loop, servers, tables, persistence, endpointLists, () -> outbound, this::log);
  }

  private ReportDispatcher intakeDispatcher(SynchronizedIntake intake) {
    return new IntakeReportDispatcher(
        loop, intake, servers, () -> policy, config.settings().controlPeriodUs());
  }

  private ReportDispatcher directDispatcher() {
    return new DirectReportDispatcher(loop, reportQueue, servers, () -> policy);
  }

  /** Returns a clock of microseconds of Unix time that never runs back. */
  public static LongSupplier unixClock() {
    long baseUs = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
    long startNs = System.nanoTime();
    return () -> baseUs + TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs);
  }

  /** Sets where calls and messages to peers go; before {@link #start}. */
  public void connect(OutboundCalls calls, PeerMessenger peers) {
    outbound = new OutboundPorts(calls, peers);
  }

  /**
   * Makes the policy, hands it the list last known and what an earlier process commanded, and runs
   * the first iteration, on the caller's thread.
   */
  public void start() {
    loop.start();
    policy = policyFactory.apply(config.settings(), commands);
    EndpointList known = persistence.initialEndpointList(config.knownServers());
    endpointLists.onInitialList(known);
    StateRestorer restorer = new StateRestorer(servers, tables, policy, idempotencyByClass());
    persistence.recover(loop.nowUs(), known, ledger -> restorer.restore(loop.nowUs(), ledger));
    if (!config.settings().endpointListOnRequest()) {
      // The policy does not ask for a watch where changes are pushed.
      endpointLists.setWatching(true);
    }
    endIteration();
  }

  private List<Idempotency> idempotencyByClass() {
    return config.settings().requestClasses().stream().map(RequestClass::idempotency).toList();
  }

  /** Runs the event loop until the thread is interrupted or an iteration fails. */
  public void run() {
    loop.run();
  }

  /** Waits for an event or a timer, and runs one iteration. */
  public void runIteration() throws InterruptedException {
    loop.runIteration();
  }

  /** Waits for one tick of the settings; tests with a clock of their own do not. */
  public void awaitTick() throws InterruptedException {
    TimeUnit.MICROSECONDS.sleep(config.settings().tickUs());
  }

  /** Logs a text of the policy. */
  protected void log(String text) {
    Logger.info(text);
  }

  private void endIteration() {
    long nowUs = loop.nowUs();
    policy.onBatchEnd(nowUs);
    tables.publish(
        nowUs, (proxy, message) -> persistence.send(proxy, streams.stream(proxy), message));
    persistence.commitIteration(nowUs);
  }

  // Events, from any thread.

  /** Runs a task on the event-loop thread. */
  public void execute(Runnable task) {
    loop.add(task);
  }

  @Override
  public void onProxyJoined(ProxyStream stream, Message.ProxyJoin join) {
    execute(() -> streams.onProxyJoined(stream, join));
  }

  @Override
  public void onStreamClosed(ProxyStream stream, int proxy) {
    execute(() -> streams.onStreamClosed(stream, proxy));
  }

  /** Bounded as reports are: a proxy may send acknowledgements without end. */
  @Override
  public void onAcknowledgement(ProxyStream stream, Message.Acknowledgement acknowledgement) {
    reportQueue.add(() -> streams.onAcknowledgement(stream, acknowledgement));
  }

  @Override
  public void onLoadReport(Message.LoadReport report, int origin) {
    reports.onLoadReport(report, origin);
  }

  @Override
  public void onUsageReport(Message.UsageReport report, int origin) {
    reports.onUsageReport(report, origin);
  }

  @Override
  public void onEndpointList(EndpointList list, boolean startsWatch, BooleanSupplier isCurrent) {
    execute(
        () -> {
          if (isCurrent.getAsBoolean()) {
            endpointLists.onEndpointList(list, startsWatch);
          }
        });
  }

  @Override
  public void onEndpointListFailed(BooleanSupplier isCurrent) {
    execute(
        () -> {
          if (isCurrent.getAsBoolean()) {
            endpointLists.onEndpointListFailed();
          }
        });
  }

  @Override
  public void onDiscoveryMoved() {
    execute(endpointLists::onDiscoveryMoved);
  }

  @Override
  public void onHealthCheckResult(
      long server, HealthCheckResult result, long tookUs, float[] load) {
    execute(() -> policy.onHealthCheckResult(loop.nowUs(), server, result, tookUs, load));
  }

  /** Bounded as reports are. */
  @Override
  public void onPeerMessage(int peer, byte[] body) {
    reportQueue.add(() -> policy.onPeerMessage(loop.nowUs(), peer, body));
  }

  // Figures, for the life of the process and for tests.

  /** Returns the number of reports dropped since the start. */
  public long droppedReports() {
    return reportQueue.dropped();
  }

  /** Returns the number of events that wait. */
  public int pendingEvents() {
    return loop.pendingEvents();
  }

  /** Sets what is called on the event-loop thread with each report of the intake that is due. */
  public void setReportListener(Consumer<QueuedReport> listener) {
    if (reports instanceof IntakeReportDispatcher intakeReports) {
      intakeReports.setListener(listener);
    }
  }

  /** The sizes of what is stored by server, proxy and timer. */
  record RetainedSizes(
      int serverNames, int serverNumbers, int streams, int timers, int publishedState) {}

  /** Returns the sizes of what must not grow without end. */
  RetainedSizes retainedSizes() {
    return new RetainedSizes(
        servers.nameCount(),
        servers.numberCount(),
        streams.size(),
        loop.timerCount(),
        tables.size());
  }
}
