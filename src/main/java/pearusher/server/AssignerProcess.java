package pearusher.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiFunction;
import org.tinylog.Logger;
import pearusher.config.AssignerConfig;
import pearusher.config.AssignerConfigReader;
import pearusher.control.Controller;
import pearusher.control.DurablePublisher;
import pearusher.control.SynchronizedIntake;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;
import pearusher.sitesettings.SettingsException;

/**
 * An assigner process: reads the configuration, warms up the code, serves until SIGTERM, and
 * determines the exit status. Runs on the main thread; the SIGTERM handling runs on a shutdown
 * hook.
 */
public final class AssignerProcess {
  private static final int FAILED = 1;
  private static final int INVALID_CONFIGURATION = 2;

  private final AssignerConfig config;
  private final BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> policyFactory;
  private final ConfigReloader reloader;

  /**
   * Whether the process is ending because of a failure; SIGTERM then leaves its status unchanged.
   */
  private final AtomicBoolean isFailing = new AtomicBoolean();

  private AssignerProcess(
      AssignerConfig config,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> policyFactory,
      ConfigReloader reloader) {
    this.config = config;
    this.policyFactory = policyFactory;
    this.reloader = reloader;
  }

  /**
   * Runs an assigner without optional features until the process ends.
   *
   * @param environment names the listen address, the discovery address and the configuration file
   * @param policyFactory creates the policy
   * @return the exit status: 1 if the start failed, 2 for an invalid configuration
   */
  public static int run(
      Map<String, String> environment,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> policyFactory) {
    return run(environment, policyFactory, OptionalFeatures.NONE);
  }

  /**
   * Runs an assigner until the process ends. On SIGTERM the virtual machine exits with status 0.
   *
   * @param environment names the listen address, the discovery address and the configuration file
   * @param policyFactory creates the policy
   * @param features the optional features that are enabled
   * @return the exit status: 1 if the start failed, 2 for an invalid configuration
   */
  public static int run(
      Map<String, String> environment,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> policyFactory,
      OptionalFeatures features) {
    ConfigReloader reloader = new ConfigReloader(environment);
    HangupSignal.onHangup(reloader::reload);
    AssignerConfig config;
    try {
      config = AssignerConfigReader.read(environment);
    } catch (SettingsException e) {
      System.err.println("pearusher: " + e.getMessage());
      return INVALID_CONFIGURATION;
    }
    return new AssignerProcess(config, policyFactory, reloader).run(features);
  }

  private int run(OptionalFeatures features) {
    Logger.info(
        "start: {} on {}, discovery {}, {} servers known",
        config.name(),
        formatAddress(config.listen()),
        formatAddress(config.discovery()),
        config.initialServers().endpoints().size());
    Optional<DurablePublisher> durablePublisher;
    try {
      durablePublisher = openStore(features);
    } catch (IOException e) {
      Logger.error("can't start on the store: {}", e.getMessage());
      return FAILED;
    }
    AssignerServer server =
        new AssignerServer(
            config,
            policyFactory,
            Controller.unixClock(),
            this::onPolicyFailure,
            durablePublisher,
            features.intakeBounds().map(SynchronizedIntake::new));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> onShutdown(durablePublisher)));
    serve(server);
    isFailing.set(true);
    return FAILED;
  }

  private Optional<DurablePublisher> openStore(OptionalFeatures features) throws IOException {
    if (features.persistence().isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        DurablePublisher.open(config, features.persistence().get(), Controller.unixClock()));
  }

  /** Serves until the virtual machine exits; returns only if the start failed. */
  private void serve(AssignerServer server) {
    try {
      WarmUp.run(config, policyFactory);
      server.start();
      reloader.connect(config, server);
      Logger.info("ready: {}", config.name());
      Thread.currentThread().join();
    } catch (RuntimeException e) {
      onPolicyFailure(e);
    } catch (Exception e) {
      isFailing.set(true);
      Logger.error("can't start on {}: {}", formatAddress(config.listen()), e.getMessage());
    }
  }

  private void onPolicyFailure(Throwable failure) {
    isFailing.set(true);
    Logger.error(failure, "the policy failed, ending with status 1");
    Runtime.getRuntime().halt(FAILED);
  }

  private void onShutdown(Optional<DurablePublisher> durablePublisher) {
    if (isFailing.get()) {
      return;
    }
    Logger.info("shutdown: {} ends on SIGTERM", config.name());
    durablePublisher.ifPresent(DurablePublisher::closeQuietly);
    Runtime.getRuntime().halt(0);
  }

  /** Returns an address in the form of log lines: numeric host, colon, port. */
  static String formatAddress(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
