package pearusher.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Writes the configuration of an assigner: the documented example, adapted to the size of the run.
 */
final class AssignerConfigWriter {
  /** The addresses of an assigner and of its discovery service. */
  record Endpoints(int number, InetSocketAddress listen, InetSocketAddress discovery) {
    String name() {
      return "n" + number;
    }
  }

  private final RunDescription run;
  private final Path example;

  /** The UDP addresses of the assigners, indexed by their numbers; empty without peers. */
  private final List<InetSocketAddress> peers;

  AssignerConfigWriter(RunDescription run, Path example) {
    this(run, example, List.of());
  }

  /**
   * Creates a writer.
   *
   * @param peers the UDP addresses of the assigners, indexed by their numbers; empty to disable
   *     datagrams between them
   */
  AssignerConfigWriter(RunDescription run, Path example, List<InetSocketAddress> peers) {
    this.run = run;
    this.example = example;
    this.peers = List.copyOf(peers);
  }

  /** Writes the file into a directory and returns the environment variables that refer to it. */
  Map<String, String> write(Path directory, Endpoints endpoints, ServerCatalog catalog)
      throws IOException {
    JsonTree json = JsonTree.read(example);
    String listen = format(endpoints.listen());
    String discovery = format(endpoints.discovery());
    String known =
        run.listsServersAsKnown()
            ? new String(catalog.encodeFullList(), StandardCharsets.US_ASCII)
            : "{\"generation\":0,\"reset\":true,\"instances\":[]}";
    json.set("name", endpoints.name())
        .set("listen", listen)
        .set("discovery", discovery)
        .set("limits.sockets", run.sockets())
        .set("known", new JsonTree.Raw(known))
        .set("settings.azs", zoneNames())
        .set("settings.myNumber", endpoints.number())
        .set("settings.replicasOfMe", Math.max(1, run.assigners()))
        .set("settings.ceilings.peers", false)
        .set("settings.ceilings.probes", false)
        .set("settings.familyInfo.channelRate", run.channelRate())
        .set("settings.familyInfo.mostWaiting", run.maxBacklog())
        .set("settings.familyInfo.proxyCount", proxyCount())
        .set("settings.familyInfo.reportsPerS", run.settingsReportsPerSecond())
        .set("settings.familyInfo.reportEveryUs", run.periodMs() * 1000L)
        .remove("peer_listen")
        .remove("peers")
        .remove("peers_all");
    setClasses(json);
    if (!peers.isEmpty()) {
      setPeers(json, endpoints.number());
    }
    Path file = Files.writeString(directory.resolve("config.json"), json.toString());
    return Map.of(
        "EDGE_NAME",
        endpoints.name(),
        "EDGE_LISTEN",
        listen,
        "EDGE_DISCOVERY",
        discovery,
        "EDGE_CONFIG",
        file.toAbsolutePath().toString());
  }

  private void setPeers(JsonTree json, int number) {
    json.set("settings.ceilings.peers", true)
        .set("peer_listen", format(peers.get(number)))
        .set("peers", peers.stream().map(AssignerConfigWriter::format).toList());
  }

  private List<String> zoneNames() {
    return IntStream.range(0, run.zones()).mapToObj(ServerCatalog::zoneName).toList();
  }

  private int proxyCount() {
    return Math.max(RunDescription.MIN_PROXY_COUNT, run.proxies());
  }

  /** Sets the request classes, which repeat those of the example under generated names. */
  private void setClasses(JsonTree json) {
    List<Object> grades = new ArrayList<>();
    List<Object> writes = new ArrayList<>();
    List<Object> ownZone = new ArrayList<>();
    for (int k = 0; k < run.classes(); k++) {
      List<Map<String, Object>> examples = json.copyObjects("settings", "grades");
      Map<String, Object> grade = examples.get(k % examples.size());
      grade.put("name", UpdateFieldReader.className(k));
      grades.add(grade);
      writes.add(k % 2 == 1);
      ownZone.add(false);
    }
    json.set("settings.grades", grades)
        .set("settings.familyInfo.writeClasses", writes)
        .set("settings.familyInfo.classOwnZone", ownZone);
  }

  static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
