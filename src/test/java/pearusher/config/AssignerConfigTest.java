package pearusher.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import pearusher.policy.Idempotency;
import pearusher.policy.Lifecycle;
import pearusher.protocol.Endpoint;
import pearusher.protocol.EndpointList;
import pearusher.protocol.EndpointListLimits;
import pearusher.server.ExampleConfig;
import pearusher.server.TestPeers;
import pearusher.sitesettings.PathValues;
import pearusher.sitesettings.PolicySettingsReader;
import pearusher.sitesettings.SettingsException;

class AssignerConfigTest {
  @TempDir Path dir;

  private String fault(ExampleConfig example) {
    return assertThrows(SettingsException.class, () -> example.read(dir)).getMessage();
  }

  @Test
  void exampleConfigurationIsRead() throws Exception {
    AssignerConfig config = new ExampleConfig().read(dir);
    assertEquals("n0", config.name());
    assertEquals(1024, config.maxDescriptors());
    assertEquals(0x8c1f30d27a5be964L, config.settings().seed());
    assertEquals(List.of("lookup", "order"), config.names().classes());
    assertEquals(Map.of("north", 0, "south", 1), config.names().zones());
    assertEquals(List.of("util", "inflight"), config.names().loadMetrics());
    assertEquals(
        Idempotency.NOT_IDEMPOTENT, config.settings().requestClasses().get(1).idempotency());
    assertTrue(config.settings().requestClasses().get(1).writes());
    assertEquals(5900, config.settings().channel().maxBacklogLines());
    assertEquals(41, config.initialServers().generation());
    assertEquals(
        new Endpoint("s-0badcafe", "127.0.0.1:9002", 1, 0, 1, Lifecycle.READY, 1, 0),
        config.initialServers().endpoints().get(1));
  }

  /** Nested JSON is flattened to the same paths that the simulator's lines have. */
  @Test
  void jsonAndLinesGiveTheSameValues() throws Exception {
    StringBuilder lines = new StringBuilder();
    PathValues json =
        PathValues.parseJson(
            "list",
            "{\"a\":{\"b\":[1,2],\"c\":[{\"d\":true},{\"d\":false}],\"e\":[],\"f\":null}}"
                .getBytes(StandardCharsets.UTF_8));
    for (String key : List.of("a.b", "a.c.count", "a.c.0.d", "a.c.1.d", "a.e")) {
      lines.append(key).append('=').append(json.require(key)).append('\n');
    }
    assertEquals("a.b=1,2\na.c.count=2\na.c.0.d=true\na.c.1.d=false\na.e=\n", lines.toString());
    assertTrue(!json.has("a.f") && !json.has("a.b.count"));
    PathValues fromLines = PathValues.parseLines(lines.toString());
    assertEquals(List.of("1", "2"), fromLines.requireList("a.b"));
    assertEquals(List.of(), fromLines.requireList("a.e"));
  }

  @Test
  void unknownKeysAreIgnored() throws Exception {
    AssignerConfig plain = new ExampleConfig().read(dir);
    AssignerConfig extended =
        new ExampleConfig()
            .with("\"seed\"", "\"later\": {\"x\": [1, {\"y\": null}]}, \"seed\"")
            .with("\"zonal\": false", "\"zonal\": false, \"neu\": 3")
            .read(dir);
    assertEquals(plain.settings(), extended.settings());
  }

  @Test
  void optionalKeysHaveDefaults() throws Exception {
    AssignerConfig config =
        new ExampleConfig()
            .with("\"timeouts\"", "\"unused\"")
            .with("\"known\"", "\"unknown\"")
            .with("\"limits\"", "\"unlimited\"")
            .read(dir);
    assertEquals(new Timeouts(1000, 3000, 5000, 2000), config.timeouts());
    assertEquals(1024, config.maxDescriptors());
    assertEquals(List.of(), config.initialServers().endpoints());
    assertEquals(
        PeerAddresses.NONE,
        new ExampleConfig().with("\"peers\": true", "\"peers\": false").read(dir).peers());
  }

  @ParameterizedTest
  @ValueSource(strings = {"EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY", "EDGE_CONFIG"})
  void errorForMissingVariableNamesIt(String variable) throws Exception {
    Map<String, String> environment = new HashMap<>(new ExampleConfig().write(dir));
    environment.remove(variable);
    assertEquals(
        "the environment variable " + variable + " is missing or blank",
        assertThrows(SettingsException.class, () -> AssignerConfigReader.read(environment))
            .getMessage());
  }

  @Test
  void errorForUnreadableFileNamesItsVariable() throws Exception {
    Map<String, String> environment = new ExampleConfig().write(dir);
    Files.delete(Path.of(environment.get("EDGE_CONFIG")));
    assertTrue(
        assertThrows(SettingsException.class, () -> AssignerConfigReader.read(environment))
            .getMessage()
            .startsWith("EDGE_CONFIG: "));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "[]", "{", "{\"a\":1}}", "{\"a\" 1}", "nonsense"})
  void malformedJsonIsRejected(String text) throws Exception {
    Map<String, String> environment = new ExampleConfig().write(dir);
    Files.writeString(Path.of(environment.get("EDGE_CONFIG")), text);
    assertTrue(
        assertThrows(SettingsException.class, () -> AssignerConfigReader.read(environment))
            .getMessage()
            .startsWith("configuration: "));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "\"seed\": \"8c1f30d27a5be964\"|\"seed\": \"later\"|seed",
        "\"seed\"|\"sead\"|seed",
        "\"settings\"|\"setting\"|settings",
        "\"tickUs\": 5000,||settings.tickUs",
        "\"tickUs\": 5000|\"tickUs\": \"soon\"|settings.tickUs",
        "\"tickUs\": 5000|\"tickUs\": 5000000|settings.tickUs",
        "\"zone\": 0|\"zone\": 2|settings.zone",
        "\"proxyCount\": 8|\"proxyCount\": 0|settings.familyInfo.proxyCount",
        "\"reportEveryUs\": 1000000|\"reportEveryUs\": 0|settings.familyInfo.reportEveryUs",
        "\"repeat\": \"fragile\"|\"repeat\": \"maybe\"|settings.grades.1.repeat",
        "\"name\": \"order\"|\"name\": \"lookup\"|settings.grades",
        "\"channelRate\": 3900.0|\"channelRate\": 0|settings.familyInfo.channelRate",
        "\"sockets\": 1024|\"sockets\": 3|limits.sockets",
        "\"sockets\": 1024|\"sockets\": \"many\"|limits.sockets",
        "\"silent_ms\": 5000|\"silent_ms\": 0|timeouts.silent_ms",
        "\"replicasOfMe\": 1|\"replicasOfMe\": 2|peers",
        "\"myNumber\": 0|\"myNumber\": 1|settings.myNumber",
        "\"peers_all\": \"127.0.0.1:7947\"|\"peers_all\": \"a.example:7947\"|peers_all",
        "\"lifecycle\": \"in_service\"|\"life\": \"in_service\"|known.instances.0.lifecycle"
      })
  void errorForInvalidValueNamesItsKey(String original, String replacement, String key)
      throws Exception {
    ExampleConfig example =
        new ExampleConfig().with(original, replacement == null ? "" : replacement);
    String message = fault(example);
    assertTrue(message.startsWith("configuration: the key " + key + " "), message);
  }

  @ParameterizedTest
  @CsvSource({
    "EDGE_NAME,name,n1",
    "EDGE_LISTEN,listen,127.0.0.1:9",
    "EDGE_DISCOVERY,discovery,127.0.0.1:9"
  })
  void differentValuesOfVariableAndKeyAreRejected(String variable, String key, String value)
      throws Exception {
    Map<String, String> environment = new HashMap<>(new ExampleConfig().write(dir));
    environment.put(variable, value);
    String message =
        assertThrows(SettingsException.class, () -> AssignerConfigReader.read(environment))
            .getMessage();
    assertTrue(
        message.startsWith("configuration: the key " + key + " is '") && message.contains(variable),
        message);
  }

  @Test
  void simulatorReaderGivesTheSameSettings() throws Exception {
    PathValues all =
        PathValues.parseJson(
            "configuration", new ExampleConfig().json().getBytes(StandardCharsets.UTF_8));
    assertEquals(
        new ExampleConfig().read(dir).settings(),
        PolicySettingsReader.read(0x8c1f30d27a5be964L, all.below("settings.")));
  }

  /**
   * The decoding of the known list depends on the settings, which may precede or follow it in the
   * file. The last of two lists applies; a list of another type counts as empty.
   */
  @Test
  void knownListIsReadAtAnyPosition() throws Exception {
    AssignerConfig first = new ExampleConfig().read(dir);
    String json = new ExampleConfig().json();
    int start = json.indexOf("  \"known\"");
    String known = json.substring(start, json.indexOf("  \"settings\""));
    ExampleConfig moved =
        new ExampleConfig().with(known, "").with("\"zonal\": false\n    }", "\"zonal\": false}");
    String settingsEnd =
        "\"drainGraceUs\": 3000000, \"fallUs\": 2000000,\n              "
            + "\"overloadFactor\": 2.5, \"rampTimeUs\": 17000000}\n  }";
    moved.with(
        settingsEnd.substring(settingsEnd.indexOf("\"overloadFactor")),
        settingsEnd.substring(settingsEnd.indexOf("\"overloadFactor"))
            + ","
            + known.strip().replaceFirst(",$", ""));
    assertEquals(first.initialServers(), moved.read(dir).initialServers());
    ExampleConfig repeated =
        new ExampleConfig().with(known, "\"known\": {\"generation\": 1}," + known);
    assertEquals(first.initialServers(), repeated.read(dir).initialServers());
    for (String absent :
        List.of("null", "[]", "[{\"generation\": 1}]", "7", "{}", "{\"reset\": 7}")) {
      assertEquals(
          EndpointList.EMPTY,
          new ExampleConfig().with(known, "\"known\": " + absent + ",").read(dir).initialServers(),
          absent);
    }
  }

  @Test
  void errorForKnownListOverTheLimitNamesItsKey() throws Exception {
    EndpointListLimits oneServer = new EndpointListLimits(1, 1000, 40 << 20);
    assertEquals(
        "configuration: the key known.instances names over 1 servers: the heap of 40 MB holds "
            + "no more",
        fault(new ExampleConfig().lists(oneServer)));
    assertEquals(
        2,
        new ExampleConfig()
            .lists(new EndpointListLimits(2, 1000, 40 << 20))
            .read(dir)
            .initialServers()
            .endpoints()
            .size());
    String message = fault(new ExampleConfig().with("s-5be2a07c", "x".repeat(256)));
    assertTrue(
        message.startsWith(
            "configuration: the key known.instances.0.instanceId is longer than 255 "
                + "characters: 'xxx"),
        message);
  }

  /**
   * Guards against keeping the file as text: the allocated memory must be proportional to the
   * number of servers.
   */
  @Test
  void readingAKnownListAllocatesLessThan2000BytesPerServer() throws Exception {
    StringBuilder servers = new StringBuilder();
    for (int k = 0; k < 9100; k++) {
      servers
          .append(
              TestPeers.endpointJson(
                  "s-" + k,
                  "10.1." + (k >> 8) + "." + (k & 255) + ":8080",
                  "north",
                  "in_service",
                  0))
          .append(",");
    }
    Map<String, String> environment =
        new ExampleConfig().with("\"instances\": [", "\"instances\": [" + servers).write(dir);
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    AssignerConfigReader.read(environment);
    long before = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    assertEquals(9102, AssignerConfigReader.read(environment).initialServers().endpoints().size());
    long bytes = threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - before;
    assertTrue(bytes < 2000L * 9102, bytes / 9102 + " bytes were allocated per server");
  }

  /** A changed policy setting in a reloaded file must not reach the running policy. */
  @Test
  void reloadAppliesOnlyAddressesAndLimits() throws Exception {
    AssignerConfig first = new ExampleConfig().read(dir);
    Map<String, String> environment = new HashMap<>(new ExampleConfig().write(dir));
    new ExampleConfig()
        .discovery("127.0.0.1:77")
        .with("\"sockets\": 1024", "\"sockets\": 256")
        .with("\"stranger_ms\": 2000", "\"stranger_ms\": 1500")
        .with("\"tickUs\": 5000", "\"tickUs\": 6000")
        .write(dir);
    AssignerConfig reloaded = AssignerConfigReader.reload(first, environment);
    assertEquals(77, reloaded.discovery().getPort());
    assertEquals(256, reloaded.maxDescriptors());
    assertEquals(1500, reloaded.timeouts().identificationMs());
    assertEquals(first.settings(), reloaded.settings());
    assertEquals(first.initialServers(), reloaded.initialServers());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "\"discovery\": \"127.0.0.1:1\"|\"discovery\": \"away\"|the key discovery is not an"
            + " address",
        "\"name\": \"n0\"|\"name\": \"n1\"|the key name is 'n1'",
        "\"peers\": [\"127.0.0.1:0\"]|\"peers\": []|the key peers lists 0",
        "\"tickUs\": 5000|\"tickUs\": true|the key settings.tickUs is unreadable",
        "}|]|malformed JSON"
      })
  void errorOnReloadNamesTheKey(String original, String replacement, String expected)
      throws Exception {
    AssignerConfig first = new ExampleConfig().read(dir);
    Map<String, String> environment = new ExampleConfig().with(original, replacement).write(dir);
    String message =
        assertThrows(SettingsException.class, () -> AssignerConfigReader.reload(first, environment))
            .getMessage();
    assertTrue(message.contains(expected), message);
  }
}
