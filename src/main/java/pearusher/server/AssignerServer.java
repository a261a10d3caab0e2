package pearusher.server;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.tinylog.Logger;
import pearusher.config.AssignerConfig;
import pearusher.config.AssignerConfigReader;
import pearusher.control.Controller;
import pearusher.control.DurablePublisher;
import pearusher.control.Persistence;
import pearusher.control.SynchronizedIntake;
import pearusher.discovery.OutboundClient;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;
import pearusher.sitesettings.SettingsException;
import pearusher.transport.PeerSocket;
import pearusher.transport.StreamServer;

/**
 * The life of one assigner: it reads the configuration, puts the parts together, starts and stops
 * them, and says how the process ends. It must never do any part's work.
 */
public final class AssignerServer {
  private static final int THREADS = 8;

  /** How often a store is looked at. */
  private static final long LOOK_MS = 100;

  private final Controller exchange;
  private final QueuedThreadPool threads = new QueuedThreadPool(THREADS, 4);
  private final ScheduledExecutorScheduler scheduler =
      new ScheduledExecutorScheduler("timers", true);
  private final StreamServer streams;
  private final OutboundClient outbound;
  private final PeerSocket peers;
  private final Thread decisions;

  private final DurablePublisher durable;

  AssignerServer(
      AssignerConfig config,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> maker,
      LongSupplier clock,
      Consumer<Throwable> failed) {
    this(config, maker, clock, failed, null, null);
  }

  AssignerServer(
      AssignerConfig config,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> maker,
      LongSupplier clock,
      Consumer<Throwable> failed,
      DurablePublisher durable,
      SynchronizedIntake intake) {
    this.durable = durable;
    threads.setName("io");
    threads.setDaemon(true);
    Persistence persistence = durable == null ? Persistence.none() : durable;
    exchange =
        new Controller(config, maker, clock, failed, persistence, Optional.ofNullable(intake));
    streams = new StreamServer(config, exchange, threads, scheduler);
    outbound = new OutboundClient(config, exchange, threads, scheduler);
    peers = new PeerSocket(config, exchange, threads);
    exchange.connect(outbound, peers);
    decisions = new Thread(exchange::run, "decisions");
    decisions.setDaemon(true);
  }

  /** Listens, hands the module what is known, and only then answers pings. */
  InetSocketAddress start() throws Exception {
    threads.start();
    scheduler.start();
    InetSocketAddress at = streams.listen();
    peers.listen();
    outbound.start();
    if (durable != null) {
      durable.start();
      look();
    }
    exchange.start();
    decisions.start();
    streams.markReady();
    return at;
  }

  /** The store is looked at often enough that a disk which hangs is seen in time. */
  private void look() {
    durable.checkDeadline();
    scheduler.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
  }

  Controller exchange() {
    return exchange;
  }

  PeerSocket peers() {
    return peers;
  }

  /** A new configuration for the parts that take it; a watch begins anew where discovery is now. */
  void reload(AssignerConfig now) {
    streams.reload(now);
    peers.reload(now);
    outbound.reload(now);
    exchange.onDiscoveryMoved();
  }

  StreamServer streams() {
    return streams;
  }

  void stop() throws Exception {
    decisions.interrupt();
    streams.stop();
    peers.close();
    outbound.stop();
    scheduler.stop();
    threads.stop();
    if (durable != null) {
      durable.close();
    }
  }

  /** The process without settings of the operators': everything that they switch on is off. */
  public static int run(
      Map<String, String> environment,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> maker) {
    return run(environment, maker, OptionalFeatures.NONE);
  }

  /** The process: 0 after SIGTERM, 1 where it fails, 2 for a faulty configuration. */
  public static int run(
      Map<String, String> environment,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> maker,
      OptionalFeatures extras) {
    // Asked for too early, the file is read again once all is there: it may be newer than what was
    // read.
    AtomicBoolean early = new AtomicBoolean();
    AtomicReference<Runnable> reload = new AtomicReference<>(() -> early.set(true));
    onHangUp(() -> reload.get().run());
    AssignerConfig config;
    try {
      config = AssignerConfigReader.read(environment);
    } catch (SettingsException e) {
      System.err.println("pearusher: " + e.getMessage());
      return 2;
    }
    AtomicBoolean failing = new AtomicBoolean();
    Logger.info(
        "start: {} on {}, discovery {}, {} servers known",
        config.name(),
        text(config.listen()),
        text(config.discovery()),
        config.knownServers().endpoints().size());
    Consumer<Throwable> failed =
        failure -> {
          failing.set(true);
          Logger.error(failure, "the module failed, ending with status 1");
          Runtime.getRuntime().halt(1);
        };
    DurablePublisher durable;
    try {
      durable =
          extras.persistence() == null
              ? null
              : DurablePublisher.open(config, extras.persistence(), Controller.unixClock());
    } catch (IOException e) {
      Logger.error("can't start on the store: {}", e.getMessage());
      return 1;
    }
    SynchronizedIntake intake =
        extras.intakeBounds() == null ? null : new SynchronizedIntake(extras.intakeBounds());
    AssignerServer serve =
        new AssignerServer(config, maker, Controller.unixClock(), failed, durable, intake);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  if (!failing.get()) {
                    Logger.info("shutdown: {} ends on SIGTERM", config.name());
                    if (durable != null) {
                      durable.closeQuietly();
                    }
                    Runtime.getRuntime().halt(0);
                  }
                }));
    try {
      WarmUp.run(config, maker);
      serve.start();
      reload.set(serve.reloading(config, environment));
      if (early.get()) {
        reload.get().run();
      }
      Logger.info("ready: {}", config.name());
      Thread.currentThread().join();
    } catch (RuntimeException e) {
      failed.accept(e);
    } catch (Exception e) {
      failing.set(true);
      Logger.error("can't start on {}: {}", text(config.listen()), e.getMessage());
    }
    failing.set(true);
    return 1;
  }

  private Runnable reloading(AssignerConfig first, Map<String, String> environment) {
    return () -> {
      // Each signal comes on a thread of its own: the last to read must be the last to be taken
      // over.
      synchronized (this) {
        try {
          AssignerConfig now = AssignerConfigReader.reload(first, environment);
          Logger.info("reload: discovery {}", text(now.discovery()));
          reload(now);
        } catch (SettingsException | RuntimeException e) {
          Logger.warn("reload: {}; the old configuration stays", e.getMessage());
        }
      }
    };
  }

  /**
   * SIGHUP asks for the file again; without this the virtual machine would end on it. The class
   * that takes signals is not part of the Java standard and the compiler warns of it, so it is
   * named at run time only. Where the signal was ignored when the process began (nohup, a trap of
   * the shell that started it), the virtual machine leaves it so and drops the handler without a
   * word: discovery moved, and an assigner that had not been told kept its list for good. The run
   * line takes the signal back; here it is said.
   */
  private static void onHangUp(Runnable then) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object taker =
          Proxy.newProxyInstance(
              AssignerServer.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, args) -> {
                if (method.getName().equals("handle")) {
                  then.run();
                  return null;
                }
                return method.getName().equals("hashCode")
                    ? System.identityHashCode(self)
                    : method.getName().equals("equals") ? self == args[0] : "hang-up";
              });
      Object before =
          signal
              .getMethod("handle", signal, handler)
              .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), taker);
      if (before == handler.getField("SIG_IGN").get(null)) {
        Logger.warn(
            "no reload on SIGHUP: it was ignored when the process began; start it by "
                + "env --default-signal=HUP");
      }
    } catch (ReflectiveOperationException e) {
      Logger.warn("no reload on SIGHUP: {}", e.getMessage());
    }
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
