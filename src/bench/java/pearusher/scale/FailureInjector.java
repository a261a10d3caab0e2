package pearusher.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Lets the window pass and makes in it the failures that the description asks for. */
final class FailureInjector {
  private static final long POLL_MS = 20;

  /** A check that is made all the while. */
  interface Check {
    void run() throws LimitReached, IOException;
  }

  /** What happens at a time of the window. */
  private interface Step {
    void run() throws IOException, InterruptedException, LimitReached;
  }

  private record Due(double atS, Step step) {}

  private final TestFleet fleet;
  private final Report report;
  private final List<Due> dues = new ArrayList<>();
  private List<Integer> lostServers = List.of();

  /** Watches before the cut. */
  private int watching;

  FailureInjector(TestFleet fleet, Report report) {
    this.fleet = fleet;
    this.report = report;
    RunDescription run = fleet.run();
    int zone = run.proxyZones() - 1;
    plan(RunKey.KILL_AT, 0, this::kill);
    plan(RunKey.ZONE_LOST_AT, 0, () -> loseZone(zone));
    plan(RunKey.ZONE_LOST_AT, run.get(RunKey.ZONE_LOST_FOR), () -> returnZone(zone));
    plan(RunKey.CUT_AT, 0, () -> cut(true));
    plan(RunKey.CUT_AT, run.get(RunKey.CUT_FOR), () -> cut(false));
    dues.sort((a, b) -> Double.compare(a.atS(), b.atS()));
  }

  private void plan(RunKey at, double afterS, Step step) {
    double atS = fleet.run().get(at);
    if (atS >= 0) {
      dues.add(new Due(atS + afterS, step));
    }
  }

  /** The window lasts until its time is over and all failures have been mended. */
  void during(double seconds, Check check) throws IOException, InterruptedException, LimitReached {
    long startNs = System.nanoTime();
    double nowS = 0;
    while (nowS < seconds || !dues.isEmpty()) {
      while (!dues.isEmpty() && dues.get(0).atS() <= nowS) {
        dues.remove(0).step().run();
      }
      check.run();
      Thread.sleep(POLL_MS);
      nowS = (System.nanoTime() - startNs) / 1e9;
    }
  }

  /**
   * The last assigner is killed and started again: at once where it is alone, else once the others
   * have bound its proxies, so that the time of the takeover has no start in it.
   */
  private void kill() throws IOException, InterruptedException, LimitReached {
    if (fleet.members().isEmpty()) {
      throw new LimitReached("kill-at: there is no real assigner", "the run ended there");
    }
    long startNs = System.nanoTime();
    TestFleet.Member member = fleet.members().get(fleet.members().size() - 1);
    long before = fleet.proxies().figures().bindUs().getTotalCount();
    int lost = fleet.proxies().boundAt(member.number());
    member.process().kill();
    boolean alone = fleet.run().assigners() == 1;
    if (!alone) {
      awaitBound("kill_to_all_bound", startNs, before + lost);
    }
    if (!fleet.start(member)) {
      throw new LimitReached(
          "process: assigner " + member.number() + " gave no pong again", "the run ended there");
    }
    report.add("restart_to_pong", member.process().readyMs(), "ms");
    if (alone) {
      awaitBound("kill_to_all_bound", startNs, before + lost);
    }
  }

  private void loseZone(int zone) throws InterruptedException {
    fleet.proxies().loseZone(zone);
    fleet.discovery().loop().executeAndWait(() -> lostServers = fleet.feed().loseZone(zone));
    report.add("zone_lost_servers", lostServers.size(), "1");
  }

  private void returnZone(int zone) throws InterruptedException, LimitReached {
    long startNs = System.nanoTime();
    fleet.discovery().loop().executeAndWait(() -> fleet.feed().returnZone(lostServers));
    fleet.proxies().returnZone(zone);
    awaitBound("zone_back_to_all_bound", startNs, 0);
  }

  /** What is beyond the cut falls silent, and comes back by new connections. */
  private void cut(boolean begins) throws InterruptedException, LimitReached {
    long startNs = System.nanoTime();
    watching = begins ? fleet.discovery().watching() : watching;
    fleet.discovery().loop().executeAndWait(() -> fleet.discovery().cut(begins));
    boolean proxies = fleet.run().get(RunKey.CUT_PROXIES) > 0;
    if (proxies) {
      fleet.collectors().cut(begins);
      fleet.proxies().cut(begins);
    }
    if (!begins && proxies) {
      awaitBound("cut_back_to_all_bound", startNs, 0);
    }
    if (!begins) {
      awaitWatching(startNs);
    }
  }

  private void awaitWatching(long startNs) throws InterruptedException, LimitReached {
    int now = fleet.discovery().watching();
    while (now < watching) {
      if (System.nanoTime() - startNs > fleet.run().get(RunKey.READY_WAIT) * 1e9) {
        throw new LimitReached(
            "watchers: not all watch again", now + " of " + watching + " watchers");
      }
      Thread.sleep(POLL_MS);
      now = fleet.discovery().watching();
    }
    report.add("cut_back_to_all_watching", (System.nanoTime() - startNs) / 1e6, "ms");
  }

  /** All proxies are bound, and so many binds were made since the start of the run. */
  private void awaitBound(String name, long startNs, long binds)
      throws InterruptedException, LimitReached {
    double mostS = fleet.run().get(RunKey.BIND_WAIT);
    int wanted = fleet.run().proxies();
    SimulatedProxies.Figures now = fleet.proxies().figures();
    while (now.bound() < wanted || now.bindUs().getTotalCount() < binds) {
      if (System.nanoTime() - startNs > mostS * 1e9) {
        throw new LimitReached(
            "binds: not all proxies bound again in " + Report.text(mostS) + " s",
            now.bound() + " of " + wanted + " proxies");
      }
      Thread.sleep(POLL_MS);
      now = fleet.proxies().figures();
    }
    report.add(name, (System.nanoTime() - startNs) / 1e6, "ms");
  }
}
