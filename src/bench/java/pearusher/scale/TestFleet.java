package pearusher.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The real and simulated processes of one run. {@link #close} stops all processes and event loops
 * and removes the directory of the fleet.
 */
final class TestFleet implements AutoCloseable {
  private static final long MAX_MEMORY_KB = 12L << 20;
  private static final long MIN_AVAILABLE_MEMORY_KB = 512 << 10;

  private final RunDescription run;
  private final RunCommand runCommand;
  private final Path directory;
  private final ServerCatalog catalog;
  private final SimulatedDiscovery discovery;
  private final ChangeTimestamps timestamps = new ChangeTimestamps();
  private final List<RealAssigner> realAssigners = new ArrayList<>();
  private final TrafficCounter watcherTraffic = new TrafficCounter();
  private SimulatedWatchers watchers;
  private SimulatedAssigners simulatedAssigners;
  private SimulatedCollectors collectors;
  private SimulatedProxies proxies;
  private ChangeFeed changeFeed;

  TestFleet(RunDescription run, RunCommand runCommand) throws IOException {
    this.run = run;
    this.runCommand = runCommand;
    directory = Files.createTempDirectory("pearusher-scale");
    catalog = new ServerCatalog(run.servers(), run.zones());
    discovery = new SimulatedDiscovery(catalog);
  }

  /**
   * Starts the real assigners one after another, each after the previous one has answered a ping.
   */
  void startAssigners() throws IOException, InterruptedException, LimitReachedException {
    AssignerConfigWriter config =
        new AssignerConfigWriter(run, runCommand.root().resolve("docs").resolve("example.json"));
    for (int number = 0; number < run.realAssigners(); number++) {
      checkMemory(number);
      TrafficCounter traffic = new TrafficCounter();
      AssignerConfigWriter.Endpoints endpoints =
          new AssignerConfigWriter.Endpoints(
              number, AssignerProcess.freeAddress(), discovery.listen(traffic));
      Path assignerDirectory = Files.createDirectory(directory.resolve(endpoints.name()));
      RealAssigner assigner =
          new RealAssigner(
              endpoints,
              traffic,
              assignerDirectory,
              config.write(assignerDirectory, endpoints, catalog));
      realAssigners.add(assigner);
      if (!start(assigner)) {
        throw new LimitReachedException(
            "process: assigner " + number + " did not answer a ping",
            number + " of " + run.realAssigners() + " assigners");
      }
    }
  }

  /** Starts or restarts an assigner. Returns false if it does not answer a ping in time. */
  boolean start(RealAssigner assigner) throws IOException, InterruptedException {
    return assigner.start(runCommand, run.get(RunOption.READY_WAIT));
  }

  private void checkMemory(int started) throws IOException, LimitReachedException {
    long usedKb = ProcessFigures.residentKb(ProcessHandle.current().pid());
    for (RealAssigner assigner : realAssigners) {
      if (assigner.process().isAlive()) {
        usedKb += ProcessFigures.residentKb(assigner.process().pid());
      }
    }
    String reached = started + " of " + run.realAssigners() + " assigners";
    if (usedKb > MAX_MEMORY_KB) {
      throw new LimitReachedException(
          "memory: " + usedKb / 1024 + " MB in use, 12288 MB allowed for a run", reached);
    }
    if (ProcessFigures.availableKb() < MIN_AVAILABLE_MEMORY_KB) {
      throw new LimitReachedException("memory: less than 512 MB available on the machine", reached);
    }
  }

  /** Creates the simulated processes without starting them. */
  void createSimulatedProcesses() throws IOException {
    watchers =
        new SimulatedWatchers(
            run.getInt(RunOption.WATCHERS), discovery.listen(watcherTraffic), timestamps);
    long periodNs = run.periodMs() * 1_000_000L;
    int[] servers = catalog.inService().stream().mapToInt(Integer::intValue).toArray();
    List<AssignerAddress> addresses = new ArrayList<>();
    realAssigners.forEach(
        assigner ->
            addresses.add(new AssignerAddress(assigner.listenAddress(), assigner.traffic())));
    simulatedAssigners = createSimulatedAssigners(servers, periodNs);
    addresses.addAll(simulatedAssigners.addresses());
    double requests =
        run.proxies() * run.classes() * run.get(RunOption.REQUESTS) / Math.max(1, run.assigners());
    collectors =
        new SimulatedCollectors(
            new CollectorWorkload(
                run.proxyZones(),
                run.reportsPerSecond(),
                run.get(RunOption.NOISE),
                run.get(RunOption.LOAD) > 0,
                requests,
                periodNs,
                run.seed()),
            addresses,
            servers);
    proxies =
        new SimulatedProxies(
            new ProxyWorkload(
                run.proxies(),
                run.proxyZones(),
                run.classes(),
                run.get(RunOption.REQUESTS),
                (long) (run.get(RunOption.APPLY_MS) * 1e6),
                periodNs),
            addresses);
    changeFeed = createChangeFeed();
  }

  private SimulatedAssigners createSimulatedAssigners(int[] servers, long periodNs)
      throws IOException {
    return new SimulatedAssigners(
        new SimulatedAssignerWorkload(
            run.simulatedAssigners(),
            run.get(RunOption.SIMULATED_UPDATES),
            run.get(RunOption.SIMULATED_LINES),
            periodNs,
            run.seed()),
        discovery,
        servers);
  }

  private ChangeFeed createChangeFeed() {
    return new ChangeFeed(
        discovery,
        catalog,
        timestamps,
        new ChangeFeed.Listener() {
          @Override
          public void onServerDraining(int server) {
            proxies.trackDrain(server);
            simulatedAssigners.ejectServer(server);
          }

          @Override
          public void onServersInService(int[] now) {
            collectors.setServers(now);
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

  List<RealAssigner> realAssigners() {
    return realAssigners;
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

  ChangeFeed changeFeed() {
    return changeFeed;
  }

  /** Returns the failure of an event loop that has ended; empty while all event loops run. */
  Optional<String> loopFailure() {
    for (EventLoop loop :
        List.of(
            discovery.loop(),
            proxies.loop(),
            collectors.loop(),
            watchers.loop(),
            simulatedAssigners.loop())) {
      if (loop.failure() != null) {
        return Optional.of(loop + ": " + loop.failure());
      }
    }
    return Optional.empty();
  }

  @Override
  public void close() throws IOException {
    closeQuietly(proxies);
    closeQuietly(collectors);
    closeQuietly(simulatedAssigners);
    closeQuietly(watchers);
    closeQuietly(discovery);
    for (RealAssigner assigner : realAssigners) {
      closeQuietly(assigner.process());
    }
    try (Stream<Path> files = Files.walk(directory)) {
      for (Path file : files.sorted((a, b) -> b.compareTo(a)).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }

  private static void closeQuietly(AutoCloseable resource) {
    try {
      if (resource != null) {
        resource.close();
      }
    } catch (Exception e) {
      System.err.println(
          "scale: cannot close " + resource.getClass().getSimpleName() + ": " + e.getMessage());
    }
  }
}
