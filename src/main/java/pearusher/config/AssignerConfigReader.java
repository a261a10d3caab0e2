package pearusher.config;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.channels.Channels;
import java.nio.channels.SeekableByteChannel;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pearusher.policy.PolicySettings;
import pearusher.protocol.EndpointList;
import pearusher.protocol.EndpointListLimits;
import pearusher.protocol.EndpointListReader;
import pearusher.protocol.WireNames;
import pearusher.sitesettings.PathValues;
import pearusher.sitesettings.PolicySettingsReader;
import pearusher.sitesettings.SettingsException;

/**
 * Reader of the assigner's configuration: environment variables and the JSON file that one of them
 * names. It validates the values and supplies defaults. Every error message names its variable or
 * key. An instance reads one configuration and is confined to one thread.
 */
public final class AssignerConfigReader {
  private static final String DOCUMENT_NAME = "configuration";

  private static final String FILE_VARIABLE = "EDGE_CONFIG";
  private static final String NAME_VARIABLE = "EDGE_NAME";
  private static final String LISTEN_VARIABLE = "EDGE_LISTEN";
  private static final String DISCOVERY_VARIABLE = "EDGE_DISCOVERY";

  private static final String NAME_KEY = "name";
  private static final String LISTEN_KEY = "listen";
  private static final String DISCOVERY_KEY = "discovery";
  private static final String KNOWN_SERVERS_KEY = "known";
  private static final String PEER_LISTEN_KEY = "peer_listen";
  private static final String PEER_BROADCAST_KEY = "peers_all";
  private static final String PEERS_KEY = "peers";
  private static final String SEED_KEY = "seed";
  private static final String SETTINGS_KEY = "settings";

  private static final String MAX_DESCRIPTORS_KEY = "limits.sockets";
  private static final String CONNECT_TIMEOUT_KEY = "timeouts.connect_ms";
  private static final String RESPONSE_TIMEOUT_KEY = "timeouts.answer_ms";
  private static final String IDLE_TIMEOUT_KEY = "timeouts.silent_ms";
  private static final String IDENTIFICATION_TIMEOUT_KEY = "timeouts.stranger_ms";

  private static final int MAX_REQUEST_CLASSES = 16;
  private static final int MAX_PROXIES = 65_536;
  private static final int MAX_INSTANCES = 65_536;
  private static final long MAX_TICK_US = 1_000_000;

  private static final int MAX_CALL_TIMEOUT_MS = 60_000;
  private static final int MAX_IDLE_TIMEOUT_MS = 600_000;
  private static final int DEFAULT_CONNECT_TIMEOUT_MS = 1000;
  private static final int DEFAULT_RESPONSE_TIMEOUT_MS = 3000;
  private static final int DEFAULT_IDLE_TIMEOUT_MS = 5000;
  private static final int DEFAULT_IDENTIFICATION_TIMEOUT_MS = 2000;

  private static final int MIN_DESCRIPTORS = 128;
  private static final int MAX_DESCRIPTORS = 1 << 20;
  private static final int DEFAULT_DESCRIPTORS = 1024;

  private final Map<String, String> environment;
  private final EndpointListLimits listLimits;
  private final boolean isReload;
  private final SeekableByteChannel file;
  private final PathValues document;

  private AssignerConfigReader(
      Map<String, String> environment,
      EndpointListLimits listLimits,
      boolean isReload,
      SeekableByteChannel file)
      throws SettingsException, IOException {
    this.environment = environment;
    this.listLimits = listLimits;
    this.isReload = isReload;
    this.file = file;
    document = PathValues.parseJson(DOCUMENT_NAME, streamFromStart(), KNOWN_SERVERS_KEY);
  }

  /**
   * Reads the configuration, with limits on endpoint lists derived from the heap size of this
   * process.
   *
   * @param environment the environment variables of the process
   * @return the configuration
   * @throws SettingsException if a variable or a key is missing or unusable
   */
  public static AssignerConfig read(Map<String, String> environment) throws SettingsException {
    return read(environment, EndpointListLimits.ofThisProcess());
  }

  /**
   * Reads the configuration.
   *
   * @param environment the environment variables of the process
   * @param listLimits the limits on endpoint lists
   * @return the configuration
   * @throws SettingsException if a variable or a key is missing or unusable
   */
  public static AssignerConfig read(Map<String, String> environment, EndpointListLimits listLimits)
      throws SettingsException {
    return open(environment, listLimits, false);
  }

  /**
   * Reads the file again for a running assigner. All values are validated, but only the reloadable
   * ones are applied.
   *
   * @param current the current configuration of the assigner
   * @param environment the environment variables of the process
   * @return the current configuration with the discovery and peer addresses, the number of file
   *     descriptors and the timeouts of the file
   * @throws SettingsException if a variable or a key is missing or unusable, or the number of peers
   *     differs from the current one
   */
  public static AssignerConfig reload(AssignerConfig current, Map<String, String> environment)
      throws SettingsException {
    AssignerConfig reloaded = open(environment, current.listLimits(), true);
    int peers = reloaded.peers().assigners().size();
    int currentPeers = current.peers().assigners().size();
    if (peers != currentPeers) {
      throw new SettingsException(
          "configuration: the key peers lists "
              + peers
              + " addresses, but a reload can't change their number from "
              + currentPeers);
    }
    return current.withReloadable(reloaded);
  }

  /**
   * Opens the file and reads its configuration. The file is opened once and read twice, because the
   * list of servers can be decoded only after the zone names have been read. The single open file
   * prevents mixing the contents of two files if the file is replaced in between.
   */
  private static AssignerConfig open(
      Map<String, String> environment, EndpointListLimits listLimits, boolean isReload)
      throws SettingsException {
    String path = variable(environment, FILE_VARIABLE);
    try (SeekableByteChannel file = Files.newByteChannel(Path.of(path))) {
      return new AssignerConfigReader(environment, listLimits, isReload, file).read();
    } catch (IOException | InvalidPathException e) {
      throw new SettingsException(FILE_VARIABLE + ": " + path + " can't be read");
    }
  }

  /** Returns a stream of the file from its start; closing the stream leaves the file open. */
  private InputStream streamFromStart() throws IOException {
    file.position(0);
    return new FilterInputStream(Channels.newInputStream(file)) {
      @Override
      public void close() {}
    };
  }

  private AssignerConfig read() throws SettingsException, IOException {
    String name = variableMatchingKey(NAME_VARIABLE, NAME_KEY);
    InetSocketAddress listen =
        address(LISTEN_KEY, variableMatchingKey(LISTEN_VARIABLE, LISTEN_KEY));
    InetSocketAddress discovery = address(DISCOVERY_KEY, discovery());
    PathValues siteSettings = siteSettings();
    PolicySettings settings = PolicySettingsReader.read(seed(), siteSettings);
    WireNames names = WireNames.of(siteSettings);
    checkSettings(siteSettings, settings);
    PeerAddresses peers = peers(settings);
    Timeouts timeouts = timeouts();
    EndpointList initialServers =
        EndpointListReader.readUnderKey(
            DOCUMENT_NAME, KNOWN_SERVERS_KEY, streamFromStart(), names, listLimits);
    int maxDescriptors =
        document.intBetween(
            MAX_DESCRIPTORS_KEY, MIN_DESCRIPTORS, MAX_DESCRIPTORS, DEFAULT_DESCRIPTORS);
    return new AssignerConfig(
        name,
        listen,
        discovery,
        maxDescriptors,
        peers,
        initialServers,
        settings,
        names,
        timeouts,
        listLimits);
  }

  /**
   * Returns the address of the discovery service. On a reload the key of the file takes precedence,
   * because an environment variable can't change while the process runs.
   */
  private String discovery() throws SettingsException {
    if (isReload && document.has(DISCOVERY_KEY)) {
      return document.require(DISCOVERY_KEY);
    }
    return variableMatchingKey(DISCOVERY_VARIABLE, DISCOVERY_KEY);
  }

  private PathValues siteSettings() throws SettingsException {
    PathValues siteSettings = document.below(SETTINGS_KEY + ".");
    if (siteSettings.isEmpty()) {
      throw document.fault(SETTINGS_KEY, "is missing");
    }
    return siteSettings;
  }

  private long seed() throws SettingsException {
    String digits = document.require(SEED_KEY);
    try {
      return Long.parseUnsignedLong(digits, 16);
    } catch (NumberFormatException e) {
      throw document.fault(
          SEED_KEY, "is unreadable: '" + digits + "' (expected hexadecimal digits)");
    }
  }

  private static void checkSettings(PathValues site, PolicySettings settings)
      throws SettingsException {
    checkRange(site, "zone", settings.zone(), 0, settings.zones() - 1);
    checkRange(site, "grades.count", settings.requestClasses().size(), 1, MAX_REQUEST_CLASSES);
    checkRange(site, "familyInfo.proxyCount", settings.proxies(), 1, MAX_PROXIES);
    checkRange(site, "familyInfo.reportEveryUs", settings.controlPeriodUs(), 1, Long.MAX_VALUE);
    checkRange(site, "replicasOfMe", settings.instances(), 1, MAX_INSTANCES);
    checkRange(site, "myNumber", settings.instance(), 0, settings.instances() - 1);
    checkRange(site, "tickUs", settings.tickUs(), 0, MAX_TICK_US);
    if (settings.channel().linesPerSecond() <= 0 || settings.channel().maxBacklogLines() <= 0) {
      throw site.fault(
          "familyInfo.channelRate",
          "and familyInfo.mostWaiting must be above 0: "
              + settings.channel().linesPerSecond()
              + " and "
              + settings.channel().maxBacklogLines());
    }
  }

  private static void checkRange(PathValues values, String key, long value, long min, long max)
      throws SettingsException {
    if (value < min || value > max) {
      throw values.fault(key, "is out of range: " + value + " (" + min + " to " + max + ")");
    }
  }

  private PeerAddresses peers(PolicySettings settings) throws SettingsException {
    if (!settings.peersEnabled() || !document.has(PEER_LISTEN_KEY)) {
      return PeerAddresses.NONE;
    }
    InetSocketAddress listen = address(PEER_LISTEN_KEY, document.require(PEER_LISTEN_KEY));
    Optional<InetSocketAddress> broadcast = peerBroadcast();
    List<InetSocketAddress> assigners = new ArrayList<>();
    for (String peer : document.listOrEmpty(PEERS_KEY)) {
      assigners.add(address(PEERS_KEY, peer));
    }
    if (assigners.size() != settings.instances()) {
      throw document.fault(
          PEERS_KEY,
          "lists "
              + assigners.size()
              + " addresses, but settings.replicasOfMe is "
              + settings.instances());
    }
    return new PeerAddresses(Optional.of(listen), List.copyOf(assigners), broadcast);
  }

  private Optional<InetSocketAddress> peerBroadcast() throws SettingsException {
    if (!document.has(PEER_BROADCAST_KEY)) {
      return Optional.empty();
    }
    return Optional.of(address(PEER_BROADCAST_KEY, document.require(PEER_BROADCAST_KEY)));
  }

  private Timeouts timeouts() throws SettingsException {
    return new Timeouts(
        timeout(CONNECT_TIMEOUT_KEY, MAX_CALL_TIMEOUT_MS, DEFAULT_CONNECT_TIMEOUT_MS),
        timeout(RESPONSE_TIMEOUT_KEY, MAX_CALL_TIMEOUT_MS, DEFAULT_RESPONSE_TIMEOUT_MS),
        timeout(IDLE_TIMEOUT_KEY, MAX_IDLE_TIMEOUT_MS, DEFAULT_IDLE_TIMEOUT_MS),
        timeout(
            IDENTIFICATION_TIMEOUT_KEY, MAX_IDLE_TIMEOUT_MS, DEFAULT_IDENTIFICATION_TIMEOUT_MS));
  }

  private int timeout(String key, int maxMs, int defaultMs) throws SettingsException {
    return document.intBetween(key, 1, maxMs, defaultMs);
  }

  private static String variable(Map<String, String> environment, String name)
      throws SettingsException {
    String value = environment.get(name);
    if (value == null || value.isBlank()) {
      throw new SettingsException("the environment variable " + name + " is missing or blank");
    }
    return value;
  }

  /**
   * Returns the value of a required variable.
   *
   * @throws SettingsException if the variable is missing, or the file has the key with another
   *     value
   */
  private String variableMatchingKey(String variable, String key) throws SettingsException {
    String value = variable(environment, variable);
    if (document.has(key) && !document.require(key).equals(value)) {
      throw document.fault(
          key,
          "is '"
              + document.require(key)
              + "', but the environment variable "
              + variable
              + " is '"
              + value
              + "'");
    }
    return value;
  }

  private static InetSocketAddress address(String key, String text) throws SettingsException {
    return SocketAddresses.parse(text)
        .orElseThrow(
            () ->
                new SettingsException(
                    "configuration: the key "
                        + key
                        + " is not an address and a port: '"
                        + text
                        + "' (expected a numeric address such as 127.0.0.1:8080 or [::1]:8080)"));
  }
}
