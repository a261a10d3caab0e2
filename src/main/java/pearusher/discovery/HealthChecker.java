package pearusher.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
import pearusher.config.AssignerConfig;
import pearusher.config.SocketAddresses;
import pearusher.config.Timeouts;
import pearusher.control.DiscoveryEvents;
import pearusher.policy.LoadReportSource;
import pearusher.protocol.HttpPaths;
import pearusher.protocol.LoadReportParser;
import pearusher.transport.TerminationReason;

/**
 * Client for the health checks of servers. Each check is one {@link HttpCall}, whose result goes to
 * the controller. Any thread may start a check.
 */
final class HealthChecker {
  private static final int MAX_LOAD_REPORT_BYTES = 4 << 10;
  private static final String ACCEPTED_TYPE = "text/plain";
  private static final int NS_PER_US = 1000;

  private final HttpConnector connector;
  private final DiscoveryEvents controller;
  private final LoadReportParser loadReports;
  private final String path;
  private volatile Timeouts timeouts;

  /**
   * Creates a checker.
   *
   * @param config the timeouts, and the settings that state whether servers have load reports
   * @param controller receives the results
   * @param connector opens the connections
   */
  HealthChecker(AssignerConfig config, DiscoveryEvents controller, HttpConnector connector) {
    this.connector = connector;
    this.controller = controller;
    loadReports = new LoadReportParser(config.names());
    boolean hasLoadReports = config.settings().loadReportSource() != LoadReportSource.NONE;
    path = hasLoadReports ? HttpPaths.LOAD_REPORT : HttpPaths.HEALTH;
    timeouts = config.timeouts();
  }

  /** Applies the timeouts of a reloaded configuration to later checks. */
  void reload(AssignerConfig reloaded) {
    timeouts = reloaded.timeouts();
  }

  /**
   * Starts one check of a server. If the server has no usable address, the result is that of an
   * unreachable server.
   *
   * @param server the number of the server
   * @param hostPort the address of the server, or null if it has none
   */
  void check(long server, String hostPort) {
    HealthCheckCall call = new HealthCheckCall(server);
    Optional.ofNullable(hostPort)
        .flatMap(SocketAddresses::parse)
        .ifPresentOrElse(
            address -> call.start(address, timeouts.connectMs() + timeouts.responseMs()),
            () -> call.end(TerminationReason.UNREACHABLE));
  }

  private final class HealthCheckCall extends HttpCall {
    private final long server;
    private final long startNs = System.nanoTime();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private float[] load = new float[0];

    HealthCheckCall(long server) {
      super(connector, path, ACCEPTED_TYPE);
      this.server = server;
    }

    @Override
    void onContent(int status, ByteBuffer content) {
      if (body.size() + content.remaining() > MAX_LOAD_REPORT_BYTES) {
        end(TerminationReason.TOO_LONG);
        return;
      }
      while (content.hasRemaining()) {
        body.write(content.get());
      }
    }

    @Override
    TerminationReason onSuccess() {
      load = loadReports.parseHealthCheckBody(body.toByteArray());
      return TerminationReason.COMPLETED;
    }

    @Override
    void onEnd(TerminationReason reason) {
      long durationUs = (System.nanoTime() - startNs) / NS_PER_US;
      controller.onHealthCheckResult(server, reason.healthCheckResult(), durationUs, load);
    }
  }
}
