package standin;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Plays one case of the review. Arguments: the name of the case, the root of the repository, the
 * run line of the deploy file, a temporary folder and the record's file. The environment variable
 * TROUBLE is 0 for the run without the disruption. The status is 1 if a rule was broken, 0 if all
 * held, and 2 if the case could not run.
 */
public final class Main {
  private static final Map<String, Integer> ZONES = new ConcurrentHashMap<>();

  private final Settings settings = new Settings();
  private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final List<Server> initial = new ArrayList<>();
  private final List<Relay> relays = new ArrayList<>();
  private final long seed = System.nanoTime();
  private final Random random = new Random(seed);
  private final Record record;
  private final Path root;
  private final String runLine;
  private final Path directory;

  private Discovery discovery;
  private CuttableLink link;
  private Assigner assigner;
  private Reports reports;
  private Channel channel;
  private Fleet fleet;
  private int port;
  private int relaysAtAssigner;

  private Main(Record record, Path root, String runLine, Path directory) {
    this.record = record;
    this.root = root;
    this.runLine = runLine;
    this.directory = directory;
  }

  /** Returns the zone of a server. */
  static int zoneOf(String server) {
    return ZONES.get(server);
  }

  public static void main(String[] arguments) throws Exception {
    int status = 2;
    try (Record record = new Record(Path.of(arguments[4]))) {
      Main main = new Main(record, Path.of(arguments[1]), arguments[2], Path.of(arguments[3]));
      Runtime.getRuntime().addShutdownHook(new Thread(main::killAssigner));
      try {
        status = main.play(arguments[0]);
      } catch (Exception e) {
        record.line("the case could not run: %s", e);
      } finally {
        main.killAssigner();
      }
      record.line("status %d", status);
    }
    System.exit(status);
  }

  private void killAssigner() {
    try {
      if (assigner != null) {
        assigner.kill();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private int play(String name) throws Exception {
    record.line("case %s, %s the disruption, seed %d", name, trouble ? "with" : "without", seed);
    switch (name) {
      case "replace" -> replace();
      case "zone" -> zone();
      case "single" -> single();
      case "deploy" -> deploy();
      case "cut" -> cut();
      default -> throw new IllegalArgumentException("unknown case " + name);
    }
    boolean crashed = assigner.hasCrashed();
    List<String> broken = fleet.broken();
    String result =
        (crashed ? "the assigner has crashed; " : "")
            + (broken.isEmpty() ? "all rules held" : "broken: " + String.join(", ", broken))
            + "; "
            + fleet.result();
    record.line("result: %s", result);
    System.out.println(name + ": " + result);
    return crashed || !broken.isEmpty() ? 1 : 0;
  }

  /**
   * Starts the stand-ins and the assigner, which knows all servers. The environment variable RELAYS
   * sets another number of relays, for comparison.
   */
  private void setUp(int servers, boolean hasLink) throws Exception {
    String fewer = System.getenv("RELAYS");
    if (fewer != null) {
      settings.proxies = Integer.parseInt(fewer);
      relaysAtAssigner = settings.proxies;
    }
    if (relaysAtAssigner == 0) {
      relaysAtAssigner = settings.proxies;
    }
    discovery = new Discovery(settings, record);
    for (int k = 0; k < servers; k++) {
      initial.add(discovery.addInitial(id(), k % settings.zones));
      ZONES.put(initial.get(k).id, initial.get(k).zone);
    }
    int discoveryPort = discovery.port();
    if (hasLink) {
      link = new CuttableLink(discoveryPort, record);
      discoveryPort = link.port();
    }
    port = freePort();
    assigner = new Assigner(record, root, runLine, directory, port, discoveryPort);
    assigner.start(settings, discovery.completeList(), random.nextLong() >>> 1);
    ScheduledExecutorService executor =
        Executors.newScheduledThreadPool(
            2,
            task -> {
              Thread thread = new Thread(task, "channel");
              thread.setDaemon(true);
              return thread;
            });
    channel = new Channel(settings, record, executor);
    reports = new Reports(settings, record, relays, port);
    for (int k = 0; k < relaysAtAssigner; k++) {
      relays.add(new Relay(k, k % settings.zones, settings, record, channel));
    }
    fleet = new Fleet(settings, record, discovery, assigner, relays, reports, channel);
    relays.forEach(relay -> relay.start(discovery.ready(), port));
    reports.start();
    fleet.start();
  }

  /** Returns a free port below the usual range of outgoing connections, which could take it. */
  private int freePort() throws IOException {
    for (int attempt = 0; attempt < 100; attempt++) {
      int candidate = 20_000 + random.nextInt(10_000);
      try (ServerSocket free =
          new ServerSocket(candidate, 1, InetAddress.getByName("127.0.0.1"))) {
        return free.getLocalPort();
      } catch (BindException e) {
        // It is taken.
      }
    }
    throw new IOException("no free port was found");
  }

  private String id() {
    return String.format("s-%08x", random.nextInt());
  }

  private Server startNew(int zone) {
    String id = id();
    ZONES.put(id, zone);
    return discovery.start(id, zone);
  }

  private static void sleep(double seconds) throws InterruptedException {
    Thread.sleep((long) (seconds * 1000));
  }

  /** Every server is replaced by a new one under a new id, one after the other, in a minute. */
  private void replace() throws Exception {
    settings.proxies = 100;
    settings.requestsPerRelay = 7;
    setUp(30, false);
    sleep(8);
    if (!trouble) {
      sleep(84);
      return;
    }
    for (Server old : List.copyOf(initial)) {
      Threads.start("replacement", () -> replaceOne(old, 18));
      sleep(1.8);
    }
    sleep(30);
  }

  /** Starts a successor, and drains and removes the old server later. */
  private void replaceOne(Server old, double overlapSeconds) throws InterruptedException {
    startNew(old.zone);
    sleep(overlapSeconds);
    discovery.change(List.of(old), Server.DRAINING);
    sleep(4);
    discovery.change(List.of(old), Server.REMOVED);
  }

  /** A zone is lost for 5 s and returns cold, under the same ids; a class keeps to its zone. */
  private void zone() throws Exception {
    settings.proxies = 100;
    settings.requestsPerRelay = 7;
    settings.secondClassOwnZone = true;
    setUp(28, false);
    sleep(10);
    if (trouble) {
      List<Server> lost = initial.stream().filter(server -> server.zone == 0).toList();
      record.line("zone 0 is lost");
      sleep(2);
      discovery.change(lost, Server.REMOVED);
      sleep(3);
      record.line("zone 0 returns");
      lost.forEach(server -> discovery.start(server.id, server.zone));
    }
    sleep(32);
  }

  /**
   * All 400 relays of two assigners come to one of them, since the other is down, and two servers
   * drain and end. Without the disruption only half of the relays come to it.
   */
  private void single() throws Exception {
    settings.zones = 2;
    settings.assigners = 2;
    settings.proxies = 400;
    settings.requestsPerRelay = 2;
    settings.channelRate = 3400;
    settings.transitUs = 294_000;
    settings.pushDelayMaxUs = 735_000;
    settings.drainGraceUs = 3_000_000;
    settings.reportEveryUs = 1_000_000;
    relaysAtAssigner = trouble ? 400 : 200;
    setUp(30, false);
    sleep(14);
    List<Server> ending = List.of(initial.get(0), initial.get(1));
    discovery.change(ending, Server.DRAINING);
    sleep(6);
    discovery.change(ending, Server.REMOVED);
    sleep(14);
  }

  /** A rolling deploy: 60 of 84 servers in 28 s, 12 at a time, each listed up to seconds late. */
  private void deploy() throws Exception {
    settings.proxies = 148;
    settings.requestsPerRelay = 7;
    settings.channelRate = 3400;
    setUp(84, false);
    sleep(12);
    if (trouble) {
      for (int step = 0; step < 5; step++) {
        for (int k = 0; k < 12; k++) {
          Server old = initial.get(12 * step + k);
          double lateSeconds = 0.2 + 2.3 * random.nextDouble();
          Threads.start(
              "replacement",
              () -> {
                sleep(lateSeconds);
                replaceOne(old, 0);
              });
        }
        sleep(5.6);
      }
    } else {
      sleep(28);
    }
    sleep(15);
  }

  /** The path to discovery is cut for 6 s; two servers drain as the cut begins. */
  private void cut() throws Exception {
    setUp(24, true);
    sleep(8);
    while (discovery.sinceLastLineUs() < 270_000 || discovery.sinceLastLineUs() > 300_000) {
      Thread.sleep(2);
    }
    if (trouble) {
      link.setCut(true);
      discovery.setSilent(true);
    }
    sleep(0.1);
    discovery.change(List.of(initial.get(0), initial.get(1)), Server.DRAINING);
    sleep(5.9);
    if (trouble) {
      discovery.setSilent(false);
      link.setCut(false);
    }
    sleep(10);
  }
}
