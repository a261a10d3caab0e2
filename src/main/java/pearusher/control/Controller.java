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
 * Owns the policy and connects it to the rest of the assigner. The controller queues events of any
 * thread, passes them to the policy on the event-loop thread, and publishes the policy's commands
 * at the end of each iteration. It performs no I/O and takes no assignment decisions.
 *
 * <p>Only the event-loop thread accesses the policy, the published tables, the server directory,
 * the stream membership and the outbound ports. The methods of the implemented interfaces and
 * {@link #execute} may be called by any thread.
 *
 * <p>Its size grows with the number of listed servers and joined proxies.
 */
public class Controller implements ProxyEvents, DiscoveryEvents, PeerEvents {
  private final AssignerConfig config;
  private final BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> policyFactory;
  private final Persistence persistence;
  private final EventLoop loop;
  private final BoundedReportQueue reportQueue;
  private final ReportDispatcher reportDispatcher;

  private final ServerDirectory servers = new ServerDirectory();
  private final PublishedTables tables;
  private final StreamMembership streams;
  private final EndpointListHandler endpointLists;
  private final PolicyCommands commands;
  private OutboundPorts outbound;
  private AssignmentPolicy policy;

  /** Runs the steps of an iteration other than its events. */
  private final class IterationHandler implements EventLoop.Handler {
    @Override
    public void awaitTick() throws InterruptedException {
      Controller.this.awaitTick();
    }

    @Override
    public boolean isOverloaded() {
      return reportDispatcher.isOverloaded();
    }

    @Override
    public void deliverQueuedReports() {
      reportDispatcher.deliverQueuedReports();
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

  /** Creates a controller that records nothing and has no intake. */
  public Controller(
      AssignerConfig config,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> policyFactory,
      LongSupplier clock,
      Consumer<Throwable> failureHandler) {
    this(config, policyFactory, clock, failureHandler, Persistence.none(), Optional.empty());
  }

  /**
   * Creates a controller; {@link #start} creates the policy.
   *
   * @param clock returns the Unix time in microseconds
   * @param failureHandler called with the exception or error that ended the event loop
   * @param intake queues the reports; if empty, each report is a separate event
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
    reportDispatcher = intake.map(this::intakeDispatcher).orElseGet(this::directDispatcher);
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

  /** Returns a clock that reads the Unix time in microseconds and never runs backwards. */
  public static LongSupplier unixClock() {
    long baseUs = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
    long startNs = System.nanoTime();
    return () -> baseUs + TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs);
  }

  /**
   * Sets the receivers of outbound calls and peer messages; must be called before {@link #start}.
   */
  public void connect(OutboundCalls calls, PeerMessenger peers) {
    outbound = new OutboundPorts(calls, peers);
  }

  /**
   * Creates the policy, passes it the last known endpoint list and the restored state of an earlier
   * process, and ends the first iteration. It runs on the caller's thread.
   */
  public void start() {
    loop.start();
    policy = policyFactory.apply(config.settings(), commands);
    EndpointList initialList = persistence.initialEndpointList(config.initialServers());
    endpointLists.onInitialList(initialList);
    StateRestorer restorer = new StateRestorer(servers, tables, policy, idempotencyByClass());
    persistence.recover(
        loop.nowUs(), initialList, ledger -> restorer.restore(loop.nowUs(), ledger));
    if (!config.settings().endpointListOnRequest()) {
      // The policy does not request a watch if discovery pushes changes.
      endpointLists.setWatching(true);
    }
    endIteration();
  }

  private List<Idempotency> idempotencyByClass() {
    return config.settings().requestClasses().stream().map(RequestClass::idempotency).toList();
  }

  /** Runs the event loop until the calling thread is interrupted or an iteration fails. */
  public void run() {
    loop.run();
  }

  /** Waits for an event or a due timer, then runs one iteration. */
  public void runIteration() throws InterruptedException {
    loop.runIteration();
  }

  /** Waits for one tick of the settings; tests with a simulated clock override this method. */
  public void awaitTick() throws InterruptedException {
    TimeUnit.MICROSECONDS.sleep(config.settings().tickUs());
  }

  /** Logs a message of the policy. */
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

  /** Queues a task for the event-loop thread; any thread may call it. */
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

  /** Queues the acknowledgement in the bounded report queue, since a proxy may send any number. */
  @Override
  public void onAcknowledgement(ProxyStream stream, Message.Acknowledgement acknowledgement) {
    reportQueue.add(() -> streams.onAcknowledgement(stream, acknowledgement));
  }

  @Override
  public void onLoadReport(Message.LoadReport report, int origin) {
    reportDispatcher.onLoadReport(report, origin);
  }

  @Override
  public void onUsageReport(Message.UsageReport report, int origin) {
    reportDispatcher.onUsageReport(report, origin);
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
  public void onDiscoveryAddressChanged() {
    execute(endpointLists::onDiscoveryAddressChanged);
  }

  @Override
  public void onHealthCheckResult(
      long server, HealthCheckResult result, long tookUs, float[] load) {
    execute(() -> policy.onHealthCheckResult(loop.nowUs(), server, result, tookUs, load));
  }

  /** Queues the message in the bounded report queue. */
  @Override
  public void onPeerMessage(int peer, byte[] body) {
    reportQueue.add(() -> policy.onPeerMessage(loop.nowUs(), peer, body));
  }

  /** Returns the number of reports, acknowledgements and peer messages dropped since the start. */
  public long droppedReports() {
    return reportQueue.droppedCount();
  }

  /** Returns the number of queued events. */
  public int pendingEvents() {
    return loop.pendingEvents();
  }

  /**
   * Sets the listener that is called on the event-loop thread with each report that the intake
   * delivers; ignored if there is no intake.
   */
  public void setReportListener(Consumer<QueuedReport> listener) {
    if (reportDispatcher instanceof IntakeReportDispatcher intakeDispatcher) {
      intakeDispatcher.setListener(listener);
    }
  }

  /** Numbers of entries stored per server, proxy and timer. */
  record RetainedSizes(
      int serverNames, int serverNumbers, int streams, int timers, int publishedEntries) {}

  /** Returns the sizes of the collections that must stay bounded. */
  RetainedSizes retainedSizes() {
    return new RetainedSizes(
        servers.nameCount(),
        servers.numberCount(),
        streams.size(),
        loop.timerCount(),
        tables.entryCount());
  }
}
