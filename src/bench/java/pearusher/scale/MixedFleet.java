package pearusher.scale;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Assigners of given builds that are each other's peers, with a simulated discovery service,
 * simulated collectors and moving proxies. Used by one thread. Grows with the size of the run.
 * {@link #close} stops all processes and event loops and removes the directory of the fleet.
 */
final class MixedFleet implements AutoCloseable {
  private final RunDescription run;
  private final List<RunCommand> builds;
  private final Path directory = Files.createTempDirectory("pearusher-mixed");
  private final ServerCatalog catalog;
  private final SimulatedDiscovery discovery;
  private final List<InetSocketAddress> peers = new ArrayList<>();
  private final List<RealAssigner> assigners = new ArrayList<>();
  private final List<AssignerTally> tallies = new ArrayList<>();
  private SimulatedCollectors collectors;
  private MovingProxies proxies;
  private ChangeFeed changeFeed;

  /** Creates a fleet with one assigner for each build, without starting them. */
  MixedFleet(RunDescription run, List<RunCommand> builds) throws IOException {
    this.run = run;
    this.builds = builds;
    catalog = new ServerCatalog(run.servers(), run.zones());
    discovery = new SimulatedDiscovery(catalog);
  }

  /** Starts the assigners one after another and creates the simulated processes. */
  void start() throws IOException, InterruptedException, LimitReachedException {
    for (int number = 0; number < builds.size(); number++) {
      peers.add(freeDatagramAddress());
    }
    for (int number = 0; number < builds.size(); number++) {
      RealAssigner assigner = createAssigner(number);
      assigners.add(assigner);
      tallies.add(new AssignerTally());
      if (!assigner.start(builds.get(number), run.get(RunOption.READY_WAIT))) {
        throw new LimitReachedException(
            "process: assigner " + number + " did not answer a ping", number + " assigners");
      }
    }
    createSimulatedProcesses();
  }

  /** Returns a loopback address with a free UDP port. */
  private static InetSocketAddress freeDatagramAddress() throws IOException {
    try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(free.getLocalAddress(), free.getLocalPort());
    }
  }

  private RealAssigner createAssigner(int number) throws IOException {
    TrafficCounter traffic = new TrafficCounter();
    AssignerConfigWriter.Endpoints endpoints =
        new AssignerConfigWriter.Endpoints(
            number, AssignerProcess.freeAddress(), discovery.listen(traffic));
    Path assignerDirectory = Files.createDirectory(directory.resolve(endpoints.name()));
    Path example = builds.get(number).root().resolve("docs").resolve("example.json");
    AssignerConfigWriter config = new AssignerConfigWriter(run, example, peers);
    return new RealAssigner(
        endpoints, traffic, assignerDirectory, config.write(assignerDirectory, endpoints, catalog));
  }

  private void createSimulatedProcesses() throws IOException {
    List<AssignerAddress> addresses =
        assigners.stream()
            .map(assigner -> new AssignerAddress(assigner.listenAddress(), assigner.traffic()))
            .toList();
    long periodNs = run.periodMs() * 1_000_000L;
    collectors = createCollectors(addresses, periodNs);
    List<MovingProxy.Target> targets = new ArrayList<>();
    for (int number = 0; number < addresses.size(); number++) {
      targets.add(new MovingProxy.Target(addresses.get(number), tallies.get(number)));
    }
    proxies =
        new MovingProxies(
            new ProxyWorkload(
                run.proxies(),
                run.proxyZones(),
                run.classes(),
                run.get(RunOption.REQUESTS),
                (long) (run.get(RunOption.APPLY_MS) * 1e6),
                periodNs),
            targets);
    changeFeed =
        new ChangeFeed(
            discovery, catalog, new ChangeTimestamps(), new CollectorUpdate(), run.seed());
  }

  private SimulatedCollectors createCollectors(List<AssignerAddress> addresses, long periodNs)
      throws IOException {
    double requests =
        run.proxies() * run.classes() * run.get(RunOption.REQUESTS) / addresses.size();
    return new SimulatedCollectors(
        new CollectorWorkload(
            run.proxyZones(),
            run.reportsPerSecond(),
            run.get(RunOption.NOISE),
            run.get(RunOption.LOAD) > 0,
            requests,
            periodNs,
            run.seed()),
        addresses,
        catalog.inService().stream().mapToInt(Integer::intValue).toArray());
  }

  /** Makes the collectors report on the servers in service. */
  private final class CollectorUpdate implements ChangeFeed.Listener {
    @Override
    public void onServerDraining(int server) {}

    @Override
    public void onServersInService(int[] servers) {
      collectors.setServers(servers);
    }
  }

  /**
   * Checks that all assigners and event loops run.
   *
   * @throws LimitReachedException if an assigner or the event loop of a simulated process has ended
   */
  void checkAlive() throws IOException, LimitReachedException {
    for (RealAssigner assigner : assigners) {
      if (!assigner.process().isAlive()) {
        throw new LimitReachedException(
            "process: assigner " + assigner.number() + " ended unexpectedly",
            assigner.process().lastLogLine());
      }
    }
    for (EventLoop loop : List.of(discovery.loop(), proxies.loop(), collectors.loop())) {
      if (loop.failure() != null) {
        throw new LimitReachedException(loop + ": " + loop.failure(), "run aborted");
      }
    }
  }

  /** Sends each assigner the input of {@link DropProbe}, which it must drop. */
  void probeDrops() throws IOException, InterruptedException {
    for (int number = 0; number < assigners.size(); number++) {
      DropProbe.send(assigners.get(number).listenAddress(), peers.get(number), run.proxies());
    }
  }

  List<RealAssigner> assigners() {
    return assigners;
  }

  /**
   * Returns the counts of messages that proxies received from an assigner. Must be called after the
   * proxies are closed.
   */
  AssignerTally tally(int number) {
    return tallies.get(number);
  }

  SimulatedCollectors collectors() {
    return collectors;
  }

  MovingProxies proxies() {
    return proxies;
  }

  ChangeFeed changeFeed() {
    return changeFeed;
  }

  @Override
  public void close() throws IOException {
    if (proxies != null) {
      proxies.close();
    }
    if (collectors != null) {
      collectors.close();
    }
    discovery.close();
    for (RealAssigner assigner : assigners) {
      if (assigner.process() != null) {
        assigner.process().close();
      }
    }
    try (Stream<Path> files = Files.walk(directory)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
