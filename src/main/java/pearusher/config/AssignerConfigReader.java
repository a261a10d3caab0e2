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
 * Reads the configuration of an assigner from its environment and the JSON file that this names,
 * checks it and supplies defaults. Every fault names its variable or key. A reader belongs to one
 * thread and reads one configuration.
 */
public final class AssignerConfigReader {
  private static final String DOCUMENT_NAME = "configuration";

  private static final String FILE_VARIABLE = "EDGE_CONFIG";
  private static final String NAME_VARIABLE = "EDGE_NAME";
  private static final String LISTEN_VARIABLE = "EDGE_LISTEN";
  private static final String DISCOVERY_VARIABLE = "EDGE_DISCOVERY";

  private static final String NAME = "name";
  private static final String LISTEN = "listen";
  private static final String DISCOVERY = "discovery";
  private static final String KNOWN_SERVERS = "known";
  private static final String PEER_LISTEN = "peer_listen";
  private static final String PEER_BROADCAST = "peers_all";
  private static final String PEERS = "peers";
  private static final String SEED = "seed";
  private static final String SETTINGS = "settings";

  private static final String MAX_DESCRIPTORS_KEY = "limits.sockets";
  private static final String CONNECT_TIMEOUT = "timeouts.connect_ms";
  private static final String RESPONSE_TIMEOUT = "timeouts.answer_ms";
  private static final String IDLE_TIMEOUT = "timeouts.silent_ms";
  private static final String IDENTIFICATION_TIMEOUT = "timeouts.stranger_ms";

  private static final int MAX_REQUEST_CLASSES = 16;
  private static final int MAX_PROXIES = 65_536;
  private static final int MAX_INSTANCES = 65_536;
  private static final long MAX_TICK_US = 1_000_000;

  private static final int MAX_CALL_TIMEOUT_MS = 60_000;
  private static final int MAX_SILENCE_MS = 600_000;
  private static final int DEFAULT_CONNECT_MS = 1000;
  private static final int DEFAULT_RESPONSE_MS = 3000;
  private static final int DEFAULT_IDLE_MS = 5000;
  private static final int DEFAULT_IDENTIFICATION_MS = 2000;

  private static final int MIN_DESCRIPTORS = 128;
  private static final int MAX_DESCRIPTORS = 1 << 20;
  private static final int DEFAULT_DESCRIPTORS = 1024;

  private final Map<String, String> environment;
  private final EndpointListLimits listLimits;
  private final boolean reloading;
  private final SeekableByteChannel file;
  private final PathValues document;

  private AssignerConfigReader(
      Map<String, String> environment,
      EndpointListLimits listLimits,
      boolean reloading,
      SeekableByteChannel file)
      throws SettingsException, IOException {
    this.environment = environment;
    this.listLimits = listLimits;
    this.reloading = reloading;
    this.file = file;
    document = PathValues.parseJson(DOCUMENT_NAME, streamFromStart(), KNOWN_SERVERS);
  }

  /**
   * Reads the configuration, with the limits on lists that follow from this process's heap.
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
   * @param listLimits the limits on lists of servers
   * @return the configuration
   * @throws SettingsException if a variable or a key is missing or unusable
   */
  public static AssignerConfig read(Map<String, String> environment, EndpointListLimits listLimits)
      throws SettingsException {
    return open(environment, listLimits, false);
  }

  /**
   * Reads the file again for a running assigner. All of it is checked, but only a part is applied.
   *
   * @param current the configuration that the assigner started with
   * @param environment the environment variables of the process
   * @return the current configuration with the addresses, the descriptors and the timeouts of the
   *     file
   * @throws SettingsException if a variable or a key is missing or unusable
   */
  public static AssignerConfig reload(AssignerConfig current, Map<String, String> environment)
      throws SettingsException {
    AssignerConfig reloaded = open(environment, current.listLimits(), true);
    int peers = reloaded.peers().assigners().size();
    int currentPeers = current.peers().assigners().size();
    if (peers != currentPeers) {
      throw new SettingsException(
          "configuration: the key peers lists " + peers + " addresses, until now " + currentPeers);
    }
    return current.withReloadable(reloaded);
  }

  /**
   * Opens the file once and reads it twice, since the list of servers can be read only once the
   * names of the zones are known: a file that is replaced meanwhile is not mixed with its
   * successor.
   */
  private static AssignerConfig open(
      Map<String, String> environment, EndpointListLimits listLimits, boolean reloading)
      throws SettingsException {
    String path = variable(environment, FILE_VARIABLE);
    try (SeekableByteChannel file = Files.newByteChannel(Path.of(path))) {
      return new AssignerConfigReader(environment, listLimits, reloading, file).read();
    } catch (IOException | InvalidPathException e) {
      throw new SettingsException(FILE_VARIABLE + ": " + path + " can't be read");
    }
  }

  /** Returns a stream of all of the file, which does not close it. */
  private InputStream streamFromStart() throws IOException {
    file.position(0);
    return new FilterInputStream(Channels.newInputStream(file)) {
      @Override
      public void close() {}
    };
  }

  private AssignerConfig read() throws SettingsException, IOException {
    String name = checkedVariable(NAME_VARIABLE, NAME);
    InetSocketAddress listen = address(LISTEN, checkedVariable(LISTEN_VARIABLE, LISTEN));
    InetSocketAddress discovery = address(DISCOVERY, discovery());
    PathValues siteSettings = siteSettings();
    PolicySettings settings = PolicySettingsReader.read(seed(), siteSettings);
    WireNames names = WireNames.of(siteSettings);
    checkSettings(siteSettings, settings);
    PeerAddresses peers = peers(settings);
    Timeouts timeouts = timeouts();
    EndpointList knownServers =
        EndpointListReader.readUnderKey(
            DOCUMENT_NAME, KNOWN_SERVERS, streamFromStart(), names, listLimits);
    int maxDescriptors =
        document.intBetween(
            MAX_DESCRIPTORS_KEY, MIN_DESCRIPTORS, MAX_DESCRIPTORS, DEFAULT_DESCRIPTORS);
    return new AssignerConfig(
        name,
        listen,
        discovery,
        maxDescriptors,
        peers,
        knownServers,
        settings,
        names,
        timeouts,
        listLimits);
  }

  /**
   * Returns the address of discovery. A variable cannot change while the process runs: on a reload
   * the key of the file takes precedence.
   */
  private String discovery() throws SettingsException {
    if (reloading && document.has(DISCOVERY)) {
      return document.require(DISCOVERY);
    }
    return checkedVariable(DISCOVERY_VARIABLE, DISCOVERY);
  }

  private PathValues siteSettings() throws SettingsException {
    PathValues siteSettings = document.below(SETTINGS + ".");
    if (siteSettings.isEmpty()) {
      throw document.fault(SETTINGS, "is missing");
    }
    return siteSettings;
  }

  private long seed() throws SettingsException {
    String digits = document.require(SEED);
    try {
      return Long.parseUnsignedLong(digits, 16);
    } catch (NumberFormatException e) {
      throw document.fault(SEED, "is unreadable: '" + digits + "' (hexadecimal digits)");
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
      throw site.fault("familyInfo.channelRate", "and familyInfo.mostWaiting must be above 0");
    }
  }

  private static void checkRange(PathValues values, String key, long value, long min, long max)
      throws SettingsException {
    if (value < min || value > max) {
      throw values.fault(key, "is out of range: " + value);
    }
  }

  private PeerAddresses peers(PolicySettings settings) throws SettingsException {
    if (!settings.peersEnabled() || !document.has(PEER_LISTEN)) {
      return PeerAddresses.NONE;
    }
    InetSocketAddress listen = address(PEER_LISTEN, document.require(PEER_LISTEN));
    Optional<InetSocketAddress> broadcast = peerBroadcast();
    List<InetSocketAddress> assigners = new ArrayList<>();
    for (String peer : document.listOrEmpty(PEERS)) {
      assigners.add(address(PEERS, peer));
    }
    if (assigners.size() != settings.instances()) {
      throw document.fault(
          PEERS,
          "lists "
              + assigners.size()
              + " addresses, settings.replicasOfMe says "
              + settings.instances());
    }
    return new PeerAddresses(Optional.of(listen), List.copyOf(assigners), broadcast);
  }

  private Optional<InetSocketAddress> peerBroadcast() throws SettingsException {
    if (!document.has(PEER_BROADCAST)) {
      return Optional.empty();
    }
    return Optional.of(address(PEER_BROADCAST, document.require(PEER_BROADCAST)));
  }

  private Timeouts timeouts() throws SettingsException {
    return new Timeouts(
        timeout(CONNECT_TIMEOUT, MAX_CALL_TIMEOUT_MS, DEFAULT_CONNECT_MS),
        timeout(RESPONSE_TIMEOUT, MAX_CALL_TIMEOUT_MS, DEFAULT_RESPONSE_MS),
        timeout(IDLE_TIMEOUT, MAX_SILENCE_MS, DEFAULT_IDLE_MS),
        timeout(IDENTIFICATION_TIMEOUT, MAX_SILENCE_MS, DEFAULT_IDENTIFICATION_MS));
  }

  private int timeout(String key, int maxMs, int defaultMs) throws SettingsException {
    return document.intBetween(key, 1, maxMs, defaultMs);
  }

  private static String variable(Map<String, String> environment, String name)
      throws SettingsException {
    String value = environment.get(name);
    if (value == null || value.isBlank()) {
      throw new SettingsException("the variable " + name + " is missing");
    }
    return value;
  }

  /** Returns the value of a variable, from which a key of the file must not differ. */
  private String checkedVariable(String variable, String key) throws SettingsException {
    String value = variable(environment, variable);
    if (document.has(key) && !document.require(key).equals(value)) {
      throw document.fault(
          key,
          "is '"
              + document.require(key)
              + "', but the variable "
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
                        + "'"));
  }
}
