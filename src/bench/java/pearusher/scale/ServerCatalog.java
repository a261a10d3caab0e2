package pearusher.scale;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The servers of the simulated discovery service, spread evenly over zones, and the encoder of
 * their endpoint list. A server's name contains its number, so that a parsed name needs no lookup.
 * The replacement of a server has a new number.
 */
final class ServerCatalog {
  private static final int FIRST_GENERATION = 41;
  private static final String[] MACHINE_TYPES = {"small", "large"};

  /** Lifecycle states in the endpoint list. */
  enum Lifecycle {
    IN_SERVICE("in_service"),
    TERMINATING("terminating"),
    TERMINATED("terminated");

    private final String text;

    Lifecycle(String text) {
      this.text = text;
    }
  }

  private static final class Entry {
    private final int zone;
    private final long startedAtMs;
    private Lifecycle lifecycle = Lifecycle.IN_SERVICE;

    Entry(int zone, long startedAtMs) {
      this.zone = zone;
      this.startedAtMs = startedAtMs;
    }
  }

  private final List<Entry> entries = new ArrayList<>();
  private final int zones;
  private long generation = FIRST_GENERATION;

  ServerCatalog(int servers, int zones) {
    this.zones = zones;
    for (int server = 0; server < servers; server++) {
      entries.add(new Entry(server % zones, 0));
    }
  }

  static String serverName(int server) {
    return "s-" + String.format("%08x", server);
  }

  /**
   * Parses the server number in the bytes of a name, which start with a prefix of two characters.
   */
  static int parseServerName(byte[] bytes, int start) {
    int server = 0;
    for (int position = start + 2; position < start + 10; position++) {
      server = server << 4 | Character.digit(bytes[position], 16);
    }
    return server;
  }

  static String zoneName(int zone) {
    return "z" + zone;
  }

  /** Returns the number of all servers, including terminated ones. */
  int size() {
    return entries.size();
  }

  int zones() {
    return zones;
  }

  int zone(int server) {
    return entries.get(server).zone;
  }

  Lifecycle lifecycle(int server) {
    return entries.get(server).lifecycle;
  }

  long generation() {
    return generation;
  }

  List<Integer> inService() {
    List<Integer> servers = new ArrayList<>();
    for (int server = 0; server < entries.size(); server++) {
      if (entries.get(server).lifecycle == Lifecycle.IN_SERVICE) {
        servers.add(server);
      }
    }
    return servers;
  }

  void setLifecycle(int server, Lifecycle lifecycle) {
    entries.get(server).lifecycle = lifecycle;
  }

  int addServer(int zone, long startedAtMs) {
    entries.add(new Entry(zone, startedAtMs));
    return entries.size() - 1;
  }

  void incrementGeneration() {
    generation++;
  }

  /** Encodes the complete list, which omits terminated servers. */
  byte[] encodeFullList() {
    List<Integer> listed = new ArrayList<>();
    for (int server = 0; server < entries.size(); server++) {
      if (entries.get(server).lifecycle != Lifecycle.TERMINATED) {
        listed.add(server);
      }
    }
    return encode(true, listed);
  }

  byte[] encodeChanges(List<Integer> servers) {
    return encode(false, servers);
  }

  private byte[] encode(boolean reset, List<Integer> servers) {
    StringBuilder json = new StringBuilder(64 + 180 * servers.size());
    json.append("{\"generation\":")
        .append(generation)
        .append(",\"reset\":")
        .append(reset)
        .append(",\"instances\":[");
    for (int k = 0; k < servers.size(); k++) {
      int server = servers.get(k);
      Entry entry = entries.get(server);
      json.append(k == 0 ? "" : ",")
          .append("{\"instanceId\":\"")
          .append(serverName(server))
          .append("\",\"hostPort\":\"10.")
          .append(server >> 16 & 255)
          .append('.')
          .append(server >> 8 & 255)
          .append('.')
          .append(server & 255)
          .append(":8080\",\"zone\":\"")
          .append(zoneName(entry.zone))
          .append("\",\"machineType\":\"")
          .append(MACHINE_TYPES[server / zones % MACHINE_TYPES.length])
          .append("\",\"cell\":")
          .append(server % 8)
          .append(",\"lifecycle\":\"")
          .append(entry.lifecycle.text)
          .append("\",\"weight\":1.0,\"startedAtMs\":")
          .append(entry.startedAtMs)
          .append('}');
    }
    return json.append("]}").toString().getBytes(StandardCharsets.US_ASCII);
  }
}
