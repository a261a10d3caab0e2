package pearusher.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * All parts of one run, real and simulated; closing it ends everything that it started and removes
 * its directory.
 */
final class TestFleet implements AutoCloseable {
  private static final long MOST_MEMORY_KB = 12L << 20;
  private static final long SPARE_MEMORY_KB = 512 << 10;

  /** A real assigner with where it is and what it got and wrote. */
  static final class Member {
    private final int number;
    private final AssignerConfig.Place place;
    private final TrafficCounter traffic;
    private final Path directory;
    private final Map<String, String> environment;
    private AssignerProcess process;

    Member(
        int number,
        AssignerConfig.Place place,
        TrafficCounter traffic,
        Path directory,
        Map<String, String> environment) {
      this.number = number;
      this.place = place;
      this.traffic = traffic;
      this.directory = directory;
      this.environment = environment;
    }

    int number() {
      return number;
    }

    TrafficCounter traffic() {
      return traffic;
    }

    AssignerProcess process() {
      return process;
    }
  }

  private final RunDescription run;
  private final RunCommand line;
  private final Path directory;
  private final ServerCatalog catalog;
  private final SimulatedDiscovery discovery;
  private final ChangeTimestamps times = new ChangeTimestamps();
  private final List<Member> members = new ArrayList<>();
  private final TrafficCounter watcherTraffic = new TrafficCounter();
  private SimulatedWatchers watchers;
  private SimulatedAssigners simulatedAssigners;
  private SimulatedCollectors collectors;
  private SimulatedProxies proxies;
  private ChangeFeed feed;

  TestFleet(RunDescription run, RunCommand line) throws IOException {
    this.run = run;
    this.line = line;
    directory = Files.createTempDirectory("pearusher-scale");
    catalog = new ServerCatalog(run.servers(), run.zones());
    discovery = new SimulatedDiscovery(catalog);
  }

  /**
   * Starts the real assigners one after the other, each once the one before has answered a ping.
   */
  void startAssigners() throws IOException, InterruptedException, LimitReached {
    AssignerConfig config =
        new AssignerConfig(run, line.root().resolve("docs").resolve("example.json"));
    for (int number = 0; number < run.realAssigners(); number++) {
      checkMemory(number);
      TrafficCounter traffic = new TrafficCounter();
      AssignerConfig.Place place =
          new AssignerConfig.Place(
              number, AssignerProcess.freeAddress(), discovery.listen(traffic));
      Path own = Files.createDirectory(directory.resolve(place.name()));
      Member member = new Member(number, place, traffic, own, config.write(own, place, catalog));
      members.add(member);
      if (!start(member)) {
        throw new LimitReached(
            "process: assigner " + number + " gave no pong",
            number + " of " + run.realAssigners() + " assigners");
      }
    }
  }

  /** Starts an assigner, for the first time or again; false where it gave no pong. */
  boolean start(Member member) throws IOException, InterruptedException {
    member.process =
        AssignerProcess.start(line, member.directory, member.place.listen(), member.environment);
    return member.process.awaitPong(run.get(RunKey.READY_WAIT));
  }

  private void checkMemory(int started) throws IOException, LimitReached {
    long used = ProcessFigures.residentKb(ProcessHandle.current().pid());
    for (Member member : members) {
      used += member.process.alive() ? ProcessFigures.residentKb(member.process.pid()) : 0;
    }
    String reached = started + " of " + run.realAssigners() + " assigners";
    if (used > MOST_MEMORY_KB) {
      throw new LimitReached(
          "memory: " + used / 1024 + " MB in use of the 12288 MB of a run", reached);
    }
    if (ProcessFigures.availableKb() < SPARE_MEMORY_KB) {
      throw new LimitReached("memory: the machine has less than 512 MB left", reached);
    }
  }

  /** Makes the simulated parts, which do nothing yet. */
  void makeSimulated() throws IOException {
    watchers =
        new SimulatedWatchers(run.whole(RunKey.WATCHERS), discovery.listen(watcherTraffic), times);
    long periodNs = run.periodMs() * 1_000_000L;
    int[] servers = catalog.inService().stream().mapToInt(Integer::intValue).toArray();
    List<AssignerAddress> addresses = new ArrayList<>();
    members.forEach(one -> addresses.add(new AssignerAddress(one.place.listen(), one.traffic)));
    simulatedAssigners = makeSimulatedAssigners(servers, periodNs);
    addresses.addAll(simulatedAssigners.addresses());
    double requests =
        run.proxies() * run.classes() * run.get(RunKey.REQUESTS) / Math.max(1, run.assigners());
    collectors =
        new SimulatedCollectors(
            new SimulatedCollectors.Shape(
                run.proxyZones(),
                run.reportsPerS(),
                run.get(RunKey.NOISE),
                run.get(RunKey.LOAD) > 0,
                requests,
                periodNs,
                run.seed()),
            addresses,
            servers);
    proxies =
        new SimulatedProxies(
            new SimulatedProxies.Shape(
                run.proxies(),
                run.proxyZones(),
                run.classes(),
                run.get(RunKey.REQUESTS),
                (long) (run.get(RunKey.APPLY_MS) * 1e6),
                periodNs),
            addresses);
    feed = makeChangeFeed();
  }

  private SimulatedAssigners makeSimulatedAssigners(int[] servers, long periodNs)
      throws IOException {
    return new SimulatedAssigners(
        new SimulatedAssigners.Shape(
            run.simulatedAssigners(),
            run.get(RunKey.SIMULATED_UPDATES),
            run.get(RunKey.SIMULATED_LINES),
            periodNs,
            run.seed()),
        discovery,
        servers);
  }

  private ChangeFeed makeChangeFeed() {
    return new ChangeFeed(
        discovery,
        catalog,
        times,
        new ChangeFeed.Listener() {
          @Override
          public void drains(int server) {
            proxies.drains(server);
            simulatedAssigners.drains(server);
          }

          @Override
          public void inService(int[] now) {
            collectors.servers(now);
          }
        },
        run.seed());
  }

  RunDescription run() {
    return run;
  }

  SimulatedDiscovery discovery() {
    return discovery;
  }

  List<Member> members() {
    return members;
  }

  TrafficCounter watcherTraffic() {
    return watcherTraffic;
  }

  SimulatedWatchers watchers() {
    return watchers;
  }

  SimulatedAssigners simulatedAssigners() {
    return simulatedAssigners;
  }

  SimulatedCollectors collectors() {
    return collectors;
  }

  SimulatedProxies proxies() {
    return proxies;
  }

  ChangeFeed feed() {
    return feed;
  }

  /** A loop that has ended by itself, or null. */
  String fault() {
    for (EventLoop loop :
        List.of(
            discovery.loop(),
            proxies.loop(),
            collectors.loop(),
            watchers.loop(),
            simulatedAssigners.loop())) {
      if (loop.failure() != null) {
        return loop + ": " + loop.failure();
      }
    }
    return null;
  }

  @Override
  public void close() throws IOException {
    closeQuietly(proxies);
    closeQuietly(collectors);
    closeQuietly(simulatedAssigners);
    closeQuietly(watchers);
    closeQuietly(discovery);
    for (Member member : members) {
      closeQuietly(member.process);
    }
    try (Stream<Path> files = Files.walk(directory)) {
      for (Path file : files.sorted((a, b) -> b.compareTo(a)).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }

  private static void closeQuietly(AutoCloseable part) {
    try {
      if (part != null) {
        part.close();
      }
    } catch (Exception e) {
      System.err.println("scale: not closed: " + e.getMessage());
    }
  }
}
