package pearusher.discovery;

import java.util.concurrent.Executor;
import org.eclipse.jetty.util.thread.Scheduler;
import pearusher.config.AssignerConfig;
import pearusher.control.DiscoveryEvents;
import pearusher.control.OutboundCalls;

/**
 * Client for the assigner's HTTP calls: watches and fetches of the endpoint list at discovery, and
 * health checks of servers. Thread-safe. Its memory use is proportional to the calls in flight.
 */
public final class OutboundClient implements OutboundCalls {
  private final HttpConnector connector;
  private final DiscoveryClient discovery;
  private final HealthChecker healthChecker;

  /**
   * Creates a client without starting it.
   *
   * @param config the address of discovery, the timeouts and the limits on endpoint lists
   * @param controller receives the results
   * @param executor runs the connections
   * @param scheduler runs timeouts
   */
  public OutboundClient(
      AssignerConfig config, DiscoveryEvents controller, Executor executor, Scheduler scheduler) {
    connector = new HttpConnector(executor, scheduler);
    connector.setConnectTimeout(config.timeouts().connectMs());
    discovery = new DiscoveryClient(config, controller, connector);
    healthChecker = new HealthChecker(config, controller, connector);
  }

  /**
   * Starts the selector, which calls require.
   *
   * @throws Exception if the selector cannot be started
   */
  public void start() throws Exception {
    connector.start();
  }

  /**
   * Stops the selector and closes all connections.
   *
   * @throws Exception if the selector cannot be stopped
   */
  public void stop() throws Exception {
    connector.stop();
  }

  /** Applies a reloaded configuration to later calls; calls in flight continue. */
  public void reload(AssignerConfig reloaded) {
    connector.setConnectTimeout(reloaded.timeouts().connectMs());
    discovery.reload(reloaded);
    healthChecker.reload(reloaded);
  }

  @Override
  public void watchEndpoints(boolean enabled, long sinceGeneration) {
    if (enabled) {
      discovery.startWatch(sinceGeneration);
    } else {
      discovery.stopWatch();
    }
  }

  @Override
  public void fetchEndpoints() {
    discovery.fetch();
  }

  @Override
  public void checkHealth(long server, String hostPort) {
    healthChecker.check(server, hostPort);
  }
}
