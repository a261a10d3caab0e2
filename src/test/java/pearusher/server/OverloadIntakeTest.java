package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
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
import pearusher.policy.FaastPolicy;
import pearusher.protocol.EndpointList;
import pearusher.protocol.Message;

/** The intake before the module: the same events below the limit, bounded and fair above it. */
class OverloadIntakeTest {
  @TempDir Path directory;

  /**
   * A day of reports, joins and lists drawn from a seed; what the module was told, event by event.
   */
  private List<String> eventsOf(SynchronizedIntake intake, long seed) throws Exception {
    ScriptedPolicy module = new ScriptedPolicy();
    AtomicLong clock = new AtomicLong(1_000_000_000_000_000L);
    Controller controller =
        new Controller(
            new ExampleConfig().read(directory),
            module,
            clock::get,
            failure -> {},
            Persistence.none(),
            Optional.ofNullable(intake)) {
          @Override
          public void awaitTick() {}
        };
    module.on(controller);
    controller.start();
    Random random = new Random(seed);
    // Each report from a source of its own: of two from one that wait together the first is old.
    int origins = 0;
    for (int turn = 0; turn < 60; turn++) {
      for (int k = random.nextInt(40); k > 0; k--) {
        int proxy = random.nextInt(8);
        switch (random.nextInt(6)) {
          case 0 ->
              controller.onProxyJoined(
                  new ProxyStream() {
                    @Override
                    public void send(byte[] message) {}

                    @Override
                    public void onReplaced() {}
                  },
                  new Message.ProxyJoin(proxy, proxy % 2, 2.5, true));
          case 1 -> controller.onEndpointList(new EndpointList(50 + turn, false, List.of()), false);
          case 2 ->
              controller.onUsageReport(
                  new Message.UsageReport(
                      proxy, 0, random.nextInt(50), random.nextInt(60), 1_000_000),
                  -1 - origins++);
          default -> {
            long tries = random.nextInt(50);
            long failed = random.nextInt((int) tries + 1);
            // Where no try was good a message has no mean.
            long mean = failed < tries ? 1000L * random.nextInt(500) : 0;
            controller.onLoadReport(
                new Message.LoadReport(
                    proxy % 2, "s-5be2a07c", tries, failed, mean, 1_000_000, new float[] {1, 2}),
                -1 - origins++);
          }
        }
      }
      clock.addAndGet(5000);
      controller.execute(() -> {});
      controller.runIteration();
    }
    return List.copyOf(module.told);
  }

  @Test
  void belowTheLimitThePolicyReceivesTheSameEvents() throws Exception {
    for (long seed = 0; seed < 20; seed++) {
      List<String> before = eventsOf(null, seed);
      assertTrue(before.size() > 300, "" + before.size());
      List<String> now =
          eventsOf(
              new SynchronizedIntake(
                  new Intake.Bounds(1000, 100, 10, 1_000_000, 3_600_000_000L, true, 1)),
              seed);
      for (int k = 0; k < before.size(); k++) {
        assertEquals(before.get(k), now.get(k), "seed " + seed + " event " + k);
      }
      assertEquals(before.size(), now.size());
    }
  }

  /**
   * One collector floods over a real socket; another's word of each instant is heard all the same.
   */
  @Test
  void busyCollectorDoesNotAffectAnother() throws Exception {
    PrintStream standardOutput = System.out;
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    System.setOut(new PrintStream(log, true, StandardCharsets.UTF_8));
    ScriptedPolicy module = new ScriptedPolicy();
    AssignerServer server = null;
    try (HttpStub discovery = new HttpStub()) {
      SynchronizedIntake intake =
          new SynchronizedIntake(new Intake.Bounds(500, 100, 50, 300_000, 3_600_000_000L, true, 1));
      server =
          new AssignerServer(
              new ExampleConfig().discovery(discovery.address()).read(directory),
              module,
              Controller.unixClock(),
              failure -> {},
              Optional.empty(),
              Optional.of(intake));
      module.on(server.controller());
      InetSocketAddress at = server.start();
      RespClient busyCollector = new RespClient(at);
      RespClient otherCollector = new RespClient(at);
      busyCollector.send("collector zone north");
      otherCollector.send("collector zone south");
      ByteArrayOutputStream burst = new ByteArrayOutputStream();
      for (int k = 0; k < 500; k++) {
        burst.writeBytes(
            TestPeers.encodeLine(
                "heard zone north server s-5be2a07c tries 9 failed 1 mean_ms 40.0 "
                    + "span_ms 1000.0"));
        burst.writeBytes(
            TestPeers.encodeLine(
                "heard zone north server new-"
                    + k
                    + " tries 9 failed 1 mean_ms 40.0 "
                    + "span_ms 1000.0"));
      }
      for (int round = 1; round <= 20; round++) {
        for (int k = 0; k < 10; k++) {
          busyCollector.send(burst.toByteArray());
        }
        int tries = 1000 + round;
        otherCollector.send(
            "heard zone south server s-0badcafe tries "
                + tries
                + " failed 0 mean_ms 50.0 "
                + "span_ms 1000.0");
        // Whole and alone: the quiet one's report is merged with nobody else's.
        TestPeers.until(
            "report " + round,
            () ->
                module.told.stream()
                    .anyMatch(t -> t.startsWith("onLoadReport 1 1 " + tries + " 0 ")));
        assertTrue(intake.size() <= 100 + 2 * 50, intake.size() + " wait");
      }
      TestPeers.until("the end", () -> !intake.isOverloaded());
      String said = log.toString(StandardCharsets.UTF_8);
      assertTrue(
          said.matches(
              "(?s).*WARN report overload started: origin=\"collector \\d+\" "
                  + "share=[01]\\.\\d+\n.*"),
          said);
      TestPeers.until(
          "its line",
          () ->
              log.toString(StandardCharsets.UTF_8)
                  .matches("(?s).*INFO report overload ended: merged=\\d+ refused=\\d+\n.*"));
      long heard = module.told.stream().filter(t -> t.startsWith("onLoadReport 0 0 ")).count();
      assertTrue(heard < 20 * 10 * 500, heard + " lines of the loud one");
      assertFalse(intake.isOverloaded());
    } finally {
      System.setOut(standardOutput);
      if (server != null) {
        server.stop();
      }
    }
  }

  /** The lines that no socket shows at will: a sample, and reports too old to be heard. */
  @Test
  void logReportsSamplesAndExpiredReports() throws Exception {
    PrintStream standardOutput = System.out;
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    System.setOut(new PrintStream(log, true, StandardCharsets.UTF_8));
    try {
      SynchronizedIntake intake =
          new SynchronizedIntake(new Intake.Bounds(100, 100, 1000, 300_000, 5_000_000, true, 1));
      for (int k = 0; k < 50; k++) {
        intake.offer(report(3, "s1"), () -> {});
      }
      for (int k = 0; k < 50; k++) {
        intake.pollOldest(1_000_000, report -> {});
      }
      assertTrue(
          log.toString(StandardCharsets.UTF_8)
              .matches("(?s).*WARN reports expired: count=32 origin=\"proxy 3\"\n"),
          log.toString(StandardCharsets.UTF_8));
      for (int k = 0; k < 1500; k++) {
        intake.offer(report(-7 - k % 2, "s" + k), () -> {});
      }
      intake.pollDue(1_000_000, report -> {});
      intake.pollDue(2_000_000, report -> {});
      assertTrue(
          log.toString(StandardCharsets.UTF_8)
              .matches("(?s).*WARN reports sampled: times=1 " + "kept=0\\.07 error=0\\.\\d+\n.*"),
          log.toString(StandardCharsets.UTF_8));
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
   * 500 relays that report each second against the real assigner, 120 servers, at 1, 10 and 100
   * times the budget: what waits stays bounded, and the view of each server lies within twice its
   * stated error of the truth for most of them.
   */
  @Test
  void viewUnderLoadLiesWithinTheStatedError() throws Exception {
    for (int times : new int[] {1, 10, 100}) {
      assertViewUnderLoad(times);
    }
  }

  private void assertViewUnderLoad(int times) throws Exception {
    int collectors = 500;
    int servers = 120;
    StringBuilder known = new StringBuilder();
    for (int k = 0; k < servers; k++) {
      known
          .append(k == 0 ? "" : ",")
          .append(TestPeers.instance("s" + k, "127.0.0.1:1", "north", "in_service", 0));
    }
    ExampleConfig example = new ExampleConfig();
    String json = example.json();
    int from = json.indexOf("\"instances\": [") + "\"instances\": [".length();
    SynchronizedIntake intake =
        new SynchronizedIntake(
            new Intake.Bounds(collectors, 4 * collectors, 200, 300_000, 3_600_000_000L, true, 7));
    long[] view = new long[servers];
    double[] variance = new double[servers];
    List<RespClient> callers = new ArrayList<>();
    AssignerServer server = null;
    try (HttpStub discovery = new HttpStub()) {
      AssignerConfig config =
          example
              .with(json.substring(from, json.indexOf("]", from)), known.toString())
              .discovery(discovery.address())
              .read(directory);
      server =
          new AssignerServer(
              config,
              FaastPolicy::new,
              Controller.unixClock(),
              failure -> {},
              Optional.empty(),
              Optional.of(intake));
      // The decision thread hears them one by one; nothing else touches the sums.
      server
          .controller()
          .setReportListener(
              report -> {
                int serverNumber =
                    Integer.parseInt(
                        ((QueuedReport.ServerAttempts) report.subject()).server().substring(1));
                view[serverNumber] += report.totals().attempts();
                variance[serverNumber] += report.totals().variance();
              });
      InetSocketAddress at = server.start();
      for (int k = 0; k < collectors; k++) {
        RespClient one = new RespClient(at);
        one.send("collector zone north");
        callers.add(one);
      }
      long[] truth = new long[servers];
      Random random = new Random(times);
      for (int second = 0; second < 3; second++) {
        long start = System.nanoTime();
        for (int k = 0; k < collectors; k++) {
          ByteArrayOutputStream lines = new ByteArrayOutputStream();
          for (int line = 0; line < times; line++) {
            int serverNumber = (k * 7 + line * 11 + second) % servers;
            int tries = 1 + random.nextInt(60);
            truth[serverNumber] += tries;
            lines.writeBytes(
                TestPeers.encodeLine(
                    "heard zone north server s"
                        + serverNumber
                        + " tries "
                        + tries
                        + " failed "
                        + tries / 10
                        + " mean_ms 40.0 span_ms 1000.0"));
          }
          callers.get(k).send(lines.toByteArray());
          assertTrue(intake.size() <= 4 * collectors + collectors * 120, "what waits is bounded");
        }
        long left = 1_000 - (System.nanoTime() - start) / 1_000_000;
        Thread.sleep(Math.max(0, left));
      }
      // A report that is still on its way is no error of the sample: it comes, then the flood is
      // over.
      long sent = Arrays.stream(truth).sum();
      TestPeers.until(
          "all of them",
          () ->
              !intake.isOverloaded()
                  && intake.size() == 0
                  && (times > 1 || Arrays.stream(view).sum() == sent));
      int withinError = 0;
      for (int k = 0; k < servers; k++) {
        withinError += Math.abs(view[k] - truth[k]) <= 2 * Math.sqrt(variance[k]) + 1 ? 1 : 0;
      }
      assertTrue(
          withinError >= 5 * servers / 6,
          times + " times: " + withinError + " of " + servers + " within two errors");
      double error = Math.abs(1.0 * Arrays.stream(view).sum() / sent - 1);
      double statedError = Math.sqrt(Arrays.stream(variance).sum()) / sent;
      assertTrue(
          error <= 3 * statedError + 1e-9,
          times + " times: off by " + error + ", stated " + statedError);
      assertTrue(
          times > 1 || (statedError == 0 && error == 0), "at the budget nothing is left out");
    } finally {
      for (RespClient one : callers) {
        one.close();
      }
      if (server != null) {
        server.stop();
      }
    }
  }
}
