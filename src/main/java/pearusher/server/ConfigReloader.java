package pearusher.server;

import java.util.Map;
import org.tinylog.Logger;
import pearusher.config.AssignerConfig;
import pearusher.config.AssignerConfigReader;
import pearusher.sitesettings.SettingsException;

/**
 * Reloads the configuration on request. A request that arrives before a server is connected is
 * executed when one is, because the file may have changed after it was first read. Thread-safe.
 */
final class ConfigReloader {
  private final Map<String, String> environment;
  private AssignerConfig firstConfig;
  private AssignerServer server;
  private boolean isRequestPending;

  /**
   * Creates a reloader that is not connected to a server.
   *
   * @param environment names the configuration file
   */
  ConfigReloader(Map<String, String> environment) {
    this.environment = environment;
  }

  /**
   * Connects the server that receives reloaded configurations. Reloads at once if a request is
   * pending.
   *
   * @param config the configuration that the server was started with
   */
  synchronized void connect(AssignerConfig config, AssignerServer startedServer) {
    firstConfig = config;
    server = startedServer;
    if (isRequestPending) {
      reload();
    }
  }

  /**
   * Reloads the configuration, or records the request if no server is connected. Each request runs
   * on its own thread; requests are serialized so that the file read last also takes effect last.
   * An invalid file leaves the previous configuration in effect.
   */
  synchronized void reload() {
    if (server == null) {
      isRequestPending = true;
      return;
    }
    try {
      AssignerConfig config = AssignerConfigReader.reload(firstConfig, environment);
      Logger.info("reload: discovery {}", AssignerProcess.formatAddress(config.discovery()));
      server.reload(config);
    } catch (SettingsException | RuntimeException e) {
      Logger.warn("reload failed: {}; the previous configuration stays in effect", e.getMessage());
    }
  }
}
