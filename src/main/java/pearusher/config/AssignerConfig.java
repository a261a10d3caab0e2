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
import pearusher.policy.PolicySettings;
import pearusher.protocol.EndpointList;
import pearusher.protocol.EndpointListLimits;
import pearusher.protocol.EndpointListReader;
import pearusher.protocol.WireNames;
import pearusher.sitesettings.PathValues;
import pearusher.sitesettings.PolicySettingsReader;
import pearusher.sitesettings.SettingsException;

/**
 * What one assigner is told at its start, and anew when its file is replaced. This is the only
 * place that reads the environment and the configuration's JSON, checks them and gives defaults;
 * every fault names its variable or key. It must never decide anything about tables: the settings
 * go to the module as they are.
 */
public record AssignerConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    int maxDescriptors,
    InetSocketAddress peerListen,
    List<InetSocketAddress> peers,
    InetSocketAddress peerBroadcast,
    EndpointList knownServers,
    PolicySettings settings,
    WireNames names,
    Timeouts timeouts,
    EndpointListLimits listLimits) {

  /** What the file is called in faults. */
  static final String DOCUMENT_NAME = "configuration";

  private static final String KNOWN = "known";
  private static final String OCTET = "(\\d{1,2}|1\\d\\d|2[0-4]\\d|25[0-5])";

  public static AssignerConfig read(Map<String, String> environment) throws SettingsException {
    return read(environment, EndpointListLimits.ofThisProcess());
  }

  public static AssignerConfig read(Map<String, String> environment, EndpointListLimits lists)
      throws SettingsException {
    return read(environment, lists, true);
  }

  /**
   * The file again, checked as a whole: what a running assigner takes over of it is where discovery
   * and its peers are, its time limits and descriptors. Its settings stay, and the list, which it
   * knows better.
   */
  public AssignerConfig reload(Map<String, String> environment) throws SettingsException {
    AssignerConfig now = read(environment, listLimits, false);
    if (now.peers.size() != peers.size()) {
      throw new SettingsException(
          "configuration: the key peers lists "
              + now.peers.size()
              + " addresses, until now "
              + peers.size());
    }
    return new AssignerConfig(
        name,
        listen,
        now.discovery,
        now.maxDescriptors,
        peerListen,
        now.peers,
        now.peerBroadcast,
        knownServers,
        settings,
        names,
        now.timeouts,
        listLimits);
  }

  /**
   * Reads the file twice through one open channel, since the list of servers can be read only once
   * the names of the zones are known: a file that is replaced meanwhile is not mixed with its
   * follower.
   */
  private static AssignerConfig read(
      Map<String, String> environment, EndpointListLimits lists, boolean start)
      throws SettingsException {
    String file = variable(environment, "EDGE_CONFIG");
    try (SeekableByteChannel channel = Files.newByteChannel(Path.of(file))) {
      return read(environment, lists, start, channel);
    } catch (IOException | InvalidPathException e) {
      throw new SettingsException("EDGE_CONFIG: " + file + " can't be read");
    }
  }

  /** A stream over the whole channel, which it leaves open. */
  private static InputStream from(SeekableByteChannel channel) throws IOException {
    channel.position(0);
    return new FilterInputStream(Channels.newInputStream(channel)) {
      @Override
      public void close() {}
    };
  }

  /** The same with so many known servers at the most: the first ones of its list. */
  public AssignerConfig withFewerKnown(int most) {
    if (knownServers.endpoints().size() <= most) {
      return this;
    }
    EndpointList fewer =
        new EndpointList(
            knownServers.generation(),
            knownServers.complete(),
            knownServers.endpoints().subList(0, most));
    return new AssignerConfig(
        name,
        listen,
        discovery,
        maxDescriptors,
        peerListen,
        peers,
        peerBroadcast,
        fewer,
        settings,
        names,
        timeouts,
        listLimits);
  }

  /**
   * A variable can't change while the process runs: later on the file alone says where discovery
   * is.
   */
  private static AssignerConfig read(
      Map<String, String> environment,
      EndpointListLimits lists,
      boolean start,
      SeekableByteChannel file)
      throws SettingsException, IOException {
    PathValues at = PathValues.parseJson(DOCUMENT_NAME, from(file), KNOWN);
    String name = same(environment, "EDGE_NAME", at, "name");
    InetSocketAddress listen =
        parseAddress("listen", same(environment, "EDGE_LISTEN", at, "listen"));
    InetSocketAddress discovery =
        parseAddress(
            "discovery",
            !start && at.has("discovery")
                ? at.require("discovery")
                : same(environment, "EDGE_DISCOVERY", at, "discovery"));
    PathValues given = at.below("settings.");
    if (given.isEmpty()) {
      throw at.fault("settings", "is missing");
    }
    PolicySettings settings = PolicySettingsReader.read(seed(at), given);
    WireNames names = WireNames.of(given);
    range(given, "zone", settings.zone(), 0, settings.zones() - 1);
    range(given, "grades.count", settings.requestClasses().size(), 1, 16);
    range(given, "familyInfo.proxyCount", settings.proxies(), 1, 65536);
    range(given, "familyInfo.reportEveryUs", settings.controlPeriodUs(), 1, Long.MAX_VALUE);
    range(given, "replicasOfMe", settings.instances(), 1, 65536);
    range(given, "myNumber", settings.instance(), 0, settings.instances() - 1);
    range(given, "tickUs", settings.tickUs(), 0, 1_000_000);
    if (settings.channel().linesPerSecond() <= 0 || settings.channel().maxBacklogLines() <= 0) {
      throw given.fault("familyInfo.channelRate", "and familyInfo.mostWaiting must be above 0");
    }
    InetSocketAddress peerListen = null;
    InetSocketAddress peersAll = null;
    List<InetSocketAddress> peers = new ArrayList<>();
    if (settings.peersEnabled() && at.has("peer_listen")) {
      peerListen = parseAddress("peer_listen", at.require("peer_listen"));
      peersAll = at.has("peers_all") ? parseAddress("peers_all", at.require("peers_all")) : null;
      for (String peer : at.listOrEmpty("peers")) {
        peers.add(parseAddress("peers", peer));
      }
      if (peers.size() != settings.instances()) {
        throw at.fault(
            "peers",
            "lists "
                + peers.size()
                + " addresses, settings.replicasOfMe says "
                + settings.instances());
      }
    }
    Timeouts timeouts =
        new Timeouts(
            at.intBetween("timeouts.connect_ms", 1, 60_000, 1000),
            at.intBetween("timeouts.answer_ms", 1, 60_000, 3000),
            at.intBetween("timeouts.silent_ms", 1, 600_000, 5000),
            at.intBetween("timeouts.stranger_ms", 1, 600_000, 2000));
    EndpointList known =
        EndpointListReader.readUnderKey(DOCUMENT_NAME, KNOWN, from(file), names, lists);
    int sockets = at.intBetween("limits.sockets", 128, 1 << 20, 1024);
    return new AssignerConfig(
        name,
        listen,
        discovery,
        sockets,
        peerListen,
        List.copyOf(peers),
        peersAll,
        known,
        settings,
        names,
        timeouts,
        lists);
  }

  private static String variable(Map<String, String> environment, String key)
      throws SettingsException {
    String value = environment.get(key);
    if (value == null || value.isBlank()) {
      throw new SettingsException("the variable " + key + " is missing");
    }
    return value;
  }

  /** A value that stands in a variable and in the file: both must say the same. */
  private static String same(
      Map<String, String> environment, String variable, PathValues at, String key)
      throws SettingsException {
    String value = variable(environment, variable);
    if (at.has(key) && !at.require(key).equals(value)) {
      throw at.fault(
          key,
          "is '" + at.require(key) + "', but the variable " + variable + " is '" + value + "'");
    }
    return value;
  }

  private static long seed(PathValues at) throws SettingsException {
    try {
      return Long.parseUnsignedLong(at.require("seed"), 16);
    } catch (NumberFormatException e) {
      throw at.fault("seed", "is unreadable: '" + at.require("seed") + "' (hexadecimal digits)");
    }
  }

  private static void range(PathValues at, String key, long value, long least, long most)
      throws SettingsException {
    if (value < least || value > most) {
      throw at.fault(key, "is out of range: " + value);
    }
  }

  private static InetSocketAddress parseAddress(String key, String text) throws SettingsException {
    InetSocketAddress out = parseAddress(text);
    if (out == null) {
      throw new SettingsException(
          "configuration: the key " + key + " is not an address and a port: '" + text + "'");
    }
    return out;
  }

  /**
   * Four numbers and a port, or IPv6 in brackets; names are not looked up. Null where it is
   * neither.
   */
  public static InetSocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    // A number over 255 makes it a name to the library, which would ask the network and hold up
    // all.
    if (!host.matches(OCTET + "(\\." + OCTET + "){3}|\\[[0-9a-fA-F:.]+\\]")
        || !text.substring(colon + 1).matches("\\d{1,5}")) {
      return null;
    }
    try {
      return new InetSocketAddress(
          java.net.InetAddress.getByName(host), Integer.parseInt(text.substring(colon + 1)));
    } catch (IOException | IllegalArgumentException e) {
      return null;
    }
  }
}
