package pearusher.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import pearusher.config.AssignerConfig;
import pearusher.config.AssignerConfigReader;
import pearusher.protocol.EndpointListLimits;
import pearusher.sitesettings.SettingsException;

/** Documented example configuration with modifications by the test. */
public final class ExampleConfig {
  private String json;
  private final Map<String, String> environment = new HashMap<>();
  private EndpointListLimits listLimits = EndpointListLimits.ofThisProcess();

  public ExampleConfig() throws IOException {
    json = Files.readString(Path.of("docs", "example.json"));
    environment.put("EDGE_NAME", "n0");
    listen("127.0.0.1:0");
    discovery("127.0.0.1:1");
    with("\"127.0.0.1:7946\"", "\"127.0.0.1:0\"");
  }

  public String json() {
    return json;
  }

  Map<String, String> environment() {
    return environment;
  }

  /** Replaces all occurrences of a text; fails the test if there are none. */
  public ExampleConfig with(String original, String replacement) {
    if (!json.contains(original)) {
      throw new AssertionError("docs/example.json does not contain " + original);
    }
    json = json.replace(original, replacement);
    return this;
  }

  private ExampleConfig address(String variable, String key, String value) {
    json = json.replaceFirst("\"" + key + "\": \"[^\"]*\"", "\"" + key + "\": \"" + value + "\"");
    environment.put(variable, value);
    return this;
  }

  ExampleConfig listen(String address) {
    return address("EDGE_LISTEN", "listen", address);
  }

  public ExampleConfig discovery(String address) {
    return address("EDGE_DISCOVERY", "discovery", address);
  }

  /** Writes the configuration file. Returns the environment of a process that uses it. */
  public Map<String, String> write(Path directory) throws IOException {
    Path file = Files.writeString(directory.resolve("config.json"), json);
    environment.put("EDGE_CONFIG", file.toString());
    return environment;
  }

  /** Replaces the limits of endpoint lists, which default to those of this process. */
  public ExampleConfig lists(EndpointListLimits limits) {
    listLimits = limits;
    return this;
  }

  public AssignerConfig read(Path directory) throws IOException, SettingsException {
    return AssignerConfigReader.read(write(directory), listLimits);
  }
}
