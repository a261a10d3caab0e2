package pearusher.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * One run of a fleet with assigners of two builds, from the start of the processes to the last
 * figure. Proxies join, then move between the assigners in rounds while servers are drained and
 * replaced. Single-threaded, of constant size.
 */
final class MixedRun {
  static final String UNDECODABLE = "undecodable";
  static final String UNEXPECTED = "unexpected";
  static final String DROP_LINES = "drop_lines";
  static final String PROBE_LINES = "drop_lines_of_probe";
  static final String UNNEEDED = "unneeded_complete_tables";

  private static final long POLL_MS = 20;
  private static final int ROUNDS = 10;
  private static final long ROUND_MS = 3_000;

  private final RunDescription run;
  private final List<RunCommand> builds;
  private final List<String> names;
  private final Report report = new Report();

  /**
   * Creates a run.
   *
   * @param names the prefixes of the figures of each build
   */
  MixedRun(RunDescription run, List<RunCommand> builds, List<String> names) {
    this.run = run;
    this.builds = builds;
    this.names = names;
  }

  /** Executes the run and returns its figures. */
  Report execute() throws IOException, InterruptedException, LimitReachedException {
    try (MixedFleet fleet = new MixedFleet(run, builds)) {
      fleet.start();
      fleet.collectors().connect();
      fleet.collectors().setReporting(true);
      fleet.proxies().join();
      awaitBound(fleet);
      pause(fleet, (long) (1000 * run.get(RunOption.SETTLE)));
      moveProxies(fleet);
      fleet.collectors().setReporting(false);
      fleet.proxies().close();
      addFigures(fleet);
    }
    return report;
  }

  private void moveProxies(MixedFleet fleet)
      throws IOException, InterruptedException, LimitReachedException {
    fleet.changeFeed().start(run.get(RunOption.CHANGES));
    for (int round = 0; round < ROUNDS; round++) {
      fleet.proxies().move(round);
      pause(fleet, ROUND_MS);
      awaitBound(fleet);
    }
    fleet.changeFeed().stop();
    report.add("list_changes", (double) fleet.changeFeed().changeCount(), "1");
  }

  private void awaitBound(MixedFleet fleet)
      throws IOException, InterruptedException, LimitReachedException {
    long endNs = System.nanoTime() + (long) (run.get(RunOption.BIND_WAIT) * 1e9);
    long bound = fleet.proxies().boundCount();
    while (bound < run.proxies()) {
      if (System.nanoTime() > endNs) {
        throw new LimitReachedException(
            "binds: not all proxies bound", bound + " of " + run.proxies() + " proxies");
      }
      pause(fleet, POLL_MS);
      bound = fleet.proxies().boundCount();
    }
  }

  private static void pause(MixedFleet fleet, long durationMs)
      throws IOException, InterruptedException, LimitReachedException {
    long endNs = System.nanoTime() + durationMs * 1_000_000;
    while (System.nanoTime() < endNs) {
      Thread.sleep(POLL_MS);
      fleet.checkAlive();
    }
  }

  private void addFigures(MixedFleet fleet) throws IOException, InterruptedException {
    for (RealAssigner assigner : fleet.assigners()) {
      String prefix = names.get(assigner.number()) + ".";
      report.add(prefix + "messages_to_assigner", (double) messagesTo(assigner), "1");
      fleet.tally(assigner.number()).addTo(report, prefix);
      report.add(prefix + DROP_LINES, (double) assigner.process().dropLines().size(), "1");
      for (String line : assigner.process().dropLines()) {
        report.remark(prefix + DROP_LINES, line);
      }
    }
    addProbe(fleet);
  }

  private static long messagesTo(RealAssigner assigner) {
    return assigner.traffic().snapshot().entrySet().stream()
        .filter(entry -> entry.getKey().isInbound())
        .mapToLong(entry -> entry.getValue().messages())
        .sum();
  }

  private void addProbe(MixedFleet fleet) throws IOException, InterruptedException {
    List<Integer> before = dropLineCounts(fleet);
    fleet.probeDrops();
    List<Integer> after = dropLineCounts(fleet);
    for (int number = 0; number < before.size(); number++) {
      String prefix = names.get(number) + ".";
      report.add(prefix + PROBE_LINES, (double) after.get(number) - before.get(number), "1");
    }
  }

  private static List<Integer> dropLineCounts(MixedFleet fleet) throws IOException {
    List<Integer> counts = new ArrayList<>();
    for (RealAssigner assigner : fleet.assigners()) {
      counts.add(assigner.process().dropLines().size());
    }
    return counts;
  }
}
