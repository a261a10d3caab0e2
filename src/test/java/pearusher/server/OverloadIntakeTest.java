package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearusher.config.AssignerConfig;
import pearusher.control.Controller;
import pearusher.control.Persistence;
import pearusher.control.ProxyStream;
import pearusher.control.ScriptedPolicy;
import pearusher.control.SynchronizedIntake;
import pearusher.intake.Intake;
import pearusher.intake.QueuedReport;
import pearusher.intake.ReportTotals;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.FaastPolicy;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;
import pearusher.protocol.EndpointList;
import pearusher.protocol.Message;

/**
 * Overload intake in front of the policy: transparent below its limits, bounded and fair above
 * them.
 */
class OverloadIntakeTest {
  private static final long HOUR_US = 3_600_000_000L;

  @TempDir Path directory;
  private final ByteArrayOutputStream log = new ByteArrayOutputStream();

  private static void runIteration(Controller controller, AtomicLong clockUs) throws Exception {
    clockUs.addAndGet(5000);
    controller.execute(() -> {});
    controller.runIteration();
  }

  /** Sends random reports, joins and lists. Returns the events that the policy received. */
  private List<String> eventsOf(SynchronizedIntake intake, long seed) throws Exception {
    ScriptedPolicy policy = new ScriptedPolicy();
    AtomicLong clockUs = new AtomicLong(1_000_000_000_000_000L);
    Controller controller =
        new Controller(
            new ExampleConfig().read(directory),
            policy,
            clockUs::get,
            failure -> {},
            Persistence.none(),
            Optional.ofNullable(intake)) {
          @Override
          public void awaitTick() {}
        };
    policy.setController(controller);
    controller.start();
    RandomEvents events = new RandomEvents(controller, new Random(seed));
    for (int iteration = 0; iteration < 60; iteration++) {
      events.sendSome(iteration);
      runIteration(controller, clockUs);
    }
    return List.copyOf(policy.events);
  }

  /** Sends random events to a controller. */
  private static final class RandomEvents {
    private final Controller controller;
    private final Random random;

    /**
     * Number of origins so far. Each report has a unique origin: of two pending ones, the first is
     * older.
     */
    private int originCount;

    RandomEvents(Controller controller, Random random) {
      this.controller = controller;
      this.random = random;
    }

    void sendSome(int iteration) {
      for (int remaining = random.nextInt(40); remaining > 0; remaining--) {
        int proxy = random.nextInt(8);
        switch (random.nextInt(6)) {
          case 0 ->
              controller.onProxyJoined(
                  new IgnoringStream(), new Message.ProxyJoin(proxy, proxy % 2, 2.5, true));
          case 1 ->
              controller.onEndpointList(new EndpointList(50 + iteration, false, List.of()), false);
          case 2 -> sendUsageReport(proxy);
          default -> sendLoadReport(proxy);
        }
      }
    }

    private int nextOrigin() {
      originCount++;
      return -originCount;
    }

    private void sendUsageReport(int proxy) {
      Message.UsageReport report =
          new Message.UsageReport(proxy, 0, random.nextInt(50), random.nextInt(60), 1_000_000);
      controller.onUsageReport(report, nextOrigin());
    }

    private void sendLoadReport(int proxy) {
      long attempts = random.nextInt(50);
      long failed = random.nextInt((int) attempts + 1);
      // A report without successful attempts has no mean latency.
      long meanUs = failed < attempts ? 1000L * random.nextInt(500) : 0;
      float[] load = {1, 2};
      controller.onLoadReport(
          new Message.LoadReport(
              proxy % 2, "s-5be2a07c", attempts, failed, meanUs, 1_000_000, load),
          nextOrigin());
    }
  }

  private record IgnoringStream() implements ProxyStream {
    @Override
    public void send(byte[] message) {}

    @Override
    public void onReplaced() {}
  }

  @Test
  void policyReceivesTheSameEventsBelowTheLimits() throws Exception {
    for (long seed = 0; seed < 20; seed++) {
      List<String> withoutIntake = eventsOf(null, seed);
      assertTrue(withoutIntake.size() > 300, "" + withoutIntake.size());
      SynchronizedIntake intake =
          new SynchronizedIntake(new Intake.Bounds(1000, 100, 10, 1_000_000, HOUR_US, true, 1));
      List<String> withIntake = eventsOf(intake, seed);
      for (int k = 0; k < withoutIntake.size(); k++) {
        assertEquals(withoutIntake.get(k), withIntake.get(k), "seed " + seed + " event " + k);
      }
      assertEquals(withoutIntake.size(), withIntake.size());
    }
  }

  private String log() {
    return log.toString(StandardCharsets.UTF_8);
  }

  private PrintStream captureLog() {
    PrintStream standardOutput = System.out;
    System.setOut(new PrintStream(log, true, StandardCharsets.UTF_8));
    return standardOutput;
  }

  private static AssignerServer server(
      AssignerConfig config,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> policyFactory,
      SynchronizedIntake intake) {
    return new AssignerServer(
        config,
        policyFactory,
        Controller.unixClock(),
        failure -> {},
        Optional.empty(),
        Optional.of(intake));
  }

  private static RespClient connectCollector(InetSocketAddress address, String zone)
      throws IOException {
    RespClient collector = new RespClient(address);
    collector.send("collector zone " + zone);
    return collector;
  }

  private static byte[] burstOfReports() {
    ByteArrayOutputStream burst = new ByteArrayOutputStream();
    for (int k = 0; k < 500; k++) {
      for (String server : List.of("s-5be2a07c", "new-" + k)) {
        burst.writeBytes(
            TestPeers.encodeLine(
                "heard zone north server "
                    + server
                    + " tries 9 failed 1 mean_ms 40.0 span_ms 1000.0"));
      }
    }
    return burst.toByteArray();
  }

  /** One collector sends bursts over a socket; the reports of another still arrive unmerged. */
  @Test
  void busyCollectorDoesNotAffectAnother() throws Exception {
    PrintStream standardOutput = captureLog();
    ScriptedPolicy policy = new ScriptedPolicy();
    SynchronizedIntake intake =
        new SynchronizedIntake(new Intake.Bounds(500, 100, 50, 300_000, HOUR_US, true, 1));
    AssignerServer server = null;
    try (HttpStub discovery = new HttpStub()) {
      AssignerConfig config = new ExampleConfig().discovery(discovery.address()).read(directory);
      server = server(config, policy, intake);
      policy.setController(server.controller());
      InetSocketAddress address = server.start();
      RespClient busyCollector = connectCollector(address, "north");
      RespClient otherCollector = connectCollector(address, "south");
      byte[] burst = burstOfReports();
      for (int round = 1; round <= 20; round++) {
        for (int k = 0; k < 10; k++) {
          busyCollector.send(burst);
        }
        assertReportArrives(otherCollector, 1000 + round, policy);
        assertTrue(intake.size() <= 100 + 2 * 50, intake.size() + " pending reports");
      }
      TestPeers.awaitUntil("the end of the overload", () -> !intake.isOverloaded());
      assertTrue(
          log()
              .matches(
                  "(?s).*WARN report overload started: origin=\"collector \\d+\""
                      + " share=[01]\\.\\d+\n"
                      + ".*"),
          log());
      TestPeers.awaitUntil(
          "the log line of the end of the overload",
          () -> log().matches("(?s).*INFO report overload ended: merged=\\d+ refused=\\d+\n.*"));
      long ofBusyCollector =
          policy.events.stream().filter(event -> event.startsWith("onLoadReport 0 0 ")).count();
      assertTrue(ofBusyCollector < 20 * 10 * 500, ofBusyCollector + " of the busy collector");
      assertFalse(intake.isOverloaded());
    } finally {
      System.setOut(standardOutput);
      if (server != null) {
        server.stop();
      }
    }
  }

  /** Checks that a report arrives unchanged, which means that it was not merged. */
  private static void assertReportArrives(RespClient collector, int attempts, ScriptedPolicy policy)
      throws Exception {
    collector.send(
        "heard zone south server s-0badcafe tries "
            + attempts
            + " failed 0 mean_ms 50.0 span_ms 1000.0");
    TestPeers.awaitUntil(
        "a report of " + attempts + " attempts",
        () ->
            policy.events.stream()
                .anyMatch(event -> event.startsWith("onLoadReport 1 1 " + attempts + " 0 ")));
  }

  @Test
  void logReportsSamplesAndExpiredReports() {
    PrintStream standardOutput = captureLog();
    try {
      SynchronizedIntake intake =
          new SynchronizedIntake(new Intake.Bounds(100, 100, 1000, 300_000, 5_000_000, true, 1));
      for (int k = 0; k < 50; k++) {
        intake.offer(report(3, "s1"), () -> {});
      }
      for (int k = 0; k < 50; k++) {
        intake.pollOldest(1_000_000, report -> {});
      }
      assertTrue(log().matches("(?s).*WARN reports expired: count=32 origin=\"proxy 3\"\n"), log());
      for (int k = 0; k < 1500; k++) {
        intake.offer(report(-7 - k % 2, "s" + k), () -> {});
      }
      intake.pollDue(1_000_000, report -> {});
      intake.pollDue(2_000_000, report -> {});
      assertTrue(
          log().matches("(?s).*WARN reports sampled: times=1 kept=0\\.07 error=0\\.\\d+\n.*"),
          log());
    } finally {
      System.setOut(standardOutput);
    }
  }

  private static QueuedReport report(int origin, String server) {
    return new QueuedReport(
        origin,
        new QueuedReport.ServerAttempts(server, 0),
        ReportTotals.of(9, 1, 40_000, 1_000_000, new float[0]));
  }

  /**
   * 500 collectors report on 120 servers every second, at 1, 10 and 100 times the rate limit. The
   * number of pending reports stays bounded, and the totals of most servers are within twice their
   * standard error.
   */
  @Test
  void totalsUnderOverloadAreWithinTheStandardError() throws Exception {
    for (int loadFactor : new int[] {1, 10, 100}) {
      new LoadedAssigner(loadFactor).assertTotalsAreWithinTheStandardError(directory);
    }
  }

  /** Assigner under load with its collectors, and the totals that the policy receives. */
  private static final class LoadedAssigner {
    private static final int COLLECTORS = 500;
    private static final int SERVERS = 120;

    private final int loadFactor;
    private final Random random;
    private final SynchronizedIntake intake =
        new SynchronizedIntake(
            new Intake.Bounds(COLLECTORS, 4 * COLLECTORS, 200, 300_000, HOUR_US, true, 7));
    private final List<RespClient> collectors = new ArrayList<>();
    private final long[] sentAttempts = new long[SERVERS];

    /** Attempts by server, written by the decision thread only. */
    private final long[] receivedAttempts = new long[SERVERS];

    private final double[] variances = new double[SERVERS];

    LoadedAssigner(int loadFactor) {
      this.loadFactor = loadFactor;
      random = new Random(loadFactor);
    }

    void assertTotalsAreWithinTheStandardError(Path directory) throws Exception {
      AssignerServer server = null;
      try (HttpStub discovery = new HttpStub()) {
        server = server(config(discovery, directory), FaastPolicy::new, intake);
        server.controller().setReportListener(this::addReceived);
        InetSocketAddress address = server.start();
        for (int k = 0; k < COLLECTORS; k++) {
          collectors.add(connectCollector(address, "north"));
        }
        for (int second = 0; second < 3; second++) {
          sendForASecond(second);
        }
        awaitAllReports();
        assertMostServersAreWithinTwoErrors();
        assertTotalIsWithinThreeErrors();
      } finally {
        for (RespClient collector : collectors) {
          collector.close();
        }
        if (server != null) {
          server.stop();
        }
      }
    }

    private static AssignerConfig config(HttpStub discovery, Path directory) throws Exception {
      List<String> entries = new ArrayList<>();
      for (int k = 0; k < SERVERS; k++) {
        entries.add(TestPeers.endpointJson("s" + k, "127.0.0.1:1", "north", "in_service", 0));
      }
      ExampleConfig example = new ExampleConfig();
      String json = example.json();
      String key = "\"instances\": [";
      int start = json.indexOf(key) + key.length();
      return example
          .with(json.substring(start, json.indexOf("]", start)), String.join(",", entries))
          .discovery(discovery.address())
          .read(directory);
    }

    private void addReceived(QueuedReport report) {
      String name = ((QueuedReport.ServerAttempts) report.subject()).server();
      int server = Integer.parseInt(name.substring(1));
      receivedAttempts[server] += report.totals().attempts();
      variances[server] += report.totals().variance();
    }

    private void sendForASecond(int second) throws Exception {
      long startNs = System.nanoTime();
      for (int collector = 0; collector < COLLECTORS; collector++) {
        collectors.get(collector).send(reports(collector, second));
        int limit = 4 * COLLECTORS + COLLECTORS * SERVERS;
        assertTrue(intake.size() <= limit, "pending reports exceed " + limit);
      }
      long remainingMs = 1_000 - (System.nanoTime() - startNs) / 1_000_000;
      Thread.sleep(Math.max(0, remainingMs));
    }

    private byte[] reports(int collector, int second) {
      ByteArrayOutputStream messages = new ByteArrayOutputStream();
      for (int k = 0; k < loadFactor; k++) {
        int server = (collector * 7 + k * 11 + second) % SERVERS;
        int attempts = 1 + random.nextInt(60);
        sentAttempts[server] += attempts;
        messages.writeBytes(
            TestPeers.encodeLine(
                "heard zone north server s"
                    + server
                    + " tries "
                    + attempts
                    + " failed "
                    + attempts / 10
                    + " mean_ms 40.0 span_ms 1000.0"));
      }
      return messages.toByteArray();
    }

    private long sentTotal() {
      return Arrays.stream(sentAttempts).sum();
    }

    private long receivedTotal() {
      return Arrays.stream(receivedAttempts).sum();
    }

    /**
     * Waits until no report is in transit, since missing reports would count as sampling errors.
     */
    private void awaitAllReports() throws InterruptedException {
      TestPeers.awaitUntil(
          "all reports",
          () ->
              !intake.isOverloaded()
                  && intake.size() == 0
                  && (loadFactor > 1 || receivedTotal() == sentTotal()));
    }

    private void assertMostServersAreWithinTwoErrors() {
      int withinError = 0;
      for (int k = 0; k < SERVERS; k++) {
        double error = Math.abs(receivedAttempts[k] - sentAttempts[k]);
        withinError += error <= 2 * Math.sqrt(variances[k]) + 1 ? 1 : 0;
      }
      assertTrue(
          withinError >= 5 * SERVERS / 6,
          loadFactor + " times: " + withinError + " of " + SERVERS + " within two errors");
    }

    private void assertTotalIsWithinThreeErrors() {
      double error = Math.abs(1.0 * receivedTotal() / sentTotal() - 1);
      double standardError = Math.sqrt(Arrays.stream(variances).sum()) / sentTotal();
      assertTrue(
          error <= 3 * standardError + 1e-9,
          loadFactor + " times: off by " + error + ", standard error " + standardError);
      assertTrue(
          loadFactor > 1 || (standardError == 0 && error == 0),
          "reports missing at the rate limit");
    }
  }
}
