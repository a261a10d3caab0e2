package pearusher.server;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import pearusher.config.AssignerConfig;
import pearusher.control.Controller;
import pearusher.control.DurablePublisher;
import pearusher.control.Persistence;
import pearusher.control.SynchronizedIntake;
import pearusher.discovery.OutboundClient;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;
import pearusher.transport.PeerSocket;
import pearusher.transport.StreamServer;

/**
 * Components of one assigner: creates and connects them, and starts and stops them. The thread that
 * creates an instance also starts it; {@link ConfigReloader} serializes reloads.
 */
final class AssignerServer {
  private static final int MAX_IO_THREADS = 8;
  private static final int MIN_IO_THREADS = 4;

  /** Interval between checks for a disk that does not respond, in milliseconds. */
  private static final long STORE_CHECK_INTERVAL_MS = 100;

  private final Controller controller;
  private final QueuedThreadPool ioThreads = new QueuedThreadPool(MAX_IO_THREADS, MIN_IO_THREADS);
  private final ScheduledExecutorScheduler scheduler =
      new ScheduledExecutorScheduler("timers", true);
  private final StreamServer streams;
  private final OutboundClient outbound;
  private final PeerSocket peers;
  private final Thread decisionThread;
  private final Optional<DurablePublisher> durablePublisher;

  /**
   * Creates an assigner that is not started.
   *
   * @param policyFactory creates the policy
   * @param clockUs Unix time in microseconds
   * @param onPolicyFailure receives the exception that the policy throws; no decisions are made
   *     after it
   * @param durablePublisher publishes through the store; empty if persistence is disabled
   * @param intake the queue of reports; empty if the intake is disabled
   */
  AssignerServer(
      AssignerConfig config,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> policyFactory,
      LongSupplier clockUs,
      Consumer<Throwable> onPolicyFailure,
      Optional<DurablePublisher> durablePublisher,
      Optional<SynchronizedIntake> intake) {
    this.durablePublisher = durablePublisher;
    ioThreads.setName("io");
    ioThreads.setDaemon(true);
    controller =
        new Controller(
            config,
            policyFactory,
            clockUs,
            onPolicyFailure,
            durablePublisher.<Persistence>map(publisher -> publisher).orElseGet(Persistence::none),
            intake);
    streams = new StreamServer(config, controller, ioThreads, scheduler);
    outbound = new OutboundClient(config, controller, ioThreads, scheduler);
    peers = new PeerSocket(config, controller, ioThreads);
    controller.connect(outbound, peers);
    decisionThread = new Thread(controller::run, "decisions");
    decisionThread.setDaemon(true);
  }

  /**
   * Starts all components. Pings are answered only after the policy has received the configured
   * servers.
   *
   * @return the address of the listening socket
   * @throws Exception if a component does not start, for example because the address is in use
   */
  InetSocketAddress start() throws Exception {
    ioThreads.start();
    scheduler.start();
    InetSocketAddress address = streams.listen();
    peers.listen();
    outbound.start();
    durablePublisher.ifPresent(
        publisher -> {
          publisher.start();
          checkStoreRegularly(publisher);
        });
    controller.start();
    decisionThread.start();
    streams.markReady();
    return address;
  }

  private void checkStoreRegularly(DurablePublisher publisher) {
    publisher.checkDeadline();
    scheduler.schedule(
        () -> checkStoreRegularly(publisher), STORE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /** Applies a new configuration and moves the endpoint watch to its discovery address. */
  void reload(AssignerConfig config) {
    streams.reload(config);
    peers.reload(config);
    outbound.reload(config);
    controller.onDiscoveryAddressChanged();
  }

  /** Stops all components and closes the store. */
  void stop() throws Exception {
    decisionThread.interrupt();
    streams.stop();
    peers.close();
    outbound.stop();
    scheduler.stop();
    ioThreads.stop();
    if (durablePublisher.isPresent()) {
      durablePublisher.get().close();
    }
  }

  Controller controller() {
    return controller;
  }

  PeerSocket peers() {
    return peers;
  }

  StreamServer streams() {
    return streams;
  }
}
