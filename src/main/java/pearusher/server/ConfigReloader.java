package pearusher.server;

import java.util.Map;
import org.tinylog.Logger;
import pearusher.config.AssignerConfig;
import pearusher.config.AssignerConfigReader;
import pearusher.sitesettings.SettingsException;

/**
 * Reads the configuration again on request. Requests that come before there is a server are kept
 * until one is connected, since the file may have changed after it was read. Any thread may call
 * it.
 */
final class ConfigReloader {
  private final Map<String, String> environment;
  private AssignerConfig firstConfig;
  private AssignerServer server;
  private boolean isRequestPending;

  /**
   * A reloader without a server.
   *
   * @param environment names the file
   */
  ConfigReloader(Map<String, String> environment) {
    this.environment = environment;
  }

  /**
   * Connects the server that new configurations are handed to, and reloads if that was requested.
   */
  synchronized void connect(AssignerConfig config, AssignerServer startedServer) {
    firstConfig = config;
    server = startedServer;
    if (isRequestPending) {
      reload();
    }
  }

  /**
   * Reloads the configuration. Requests come on threads of their own and take turns here, so that
   * the last file that is read is the last to take effect.
   */
  synchronized void reload() {
    if (server == null) {
      isRequestPending = true;
      return;
    }
    try {
      AssignerConfig config = AssignerConfigReader.reload(firstConfig, environment);
      Logger.info("reload: discovery {}", AssignerProcess.text(config.discovery()));
      server.reload(config);
    } catch (SettingsException | RuntimeException e) {
      Logger.warn("reload: {}; the old configuration stays", e.getMessage());
    }
  }
}
