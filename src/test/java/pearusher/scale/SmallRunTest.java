package pearusher.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs of one second with real sockets; assertions are on counts, never on times. */
class SmallRunTest {
  private static final String SMALL =
      "servers 20 zones 2 proxies 6 seconds 1 settle 0 changes 4 heap 0 noise 0 ";

  /** A weight entry: name, colon, weight, comma. */
  private static final int MAX_WEIGHT_ENTRY_BYTES = 24;

  private static final int MAX_UPDATE_OVERHEAD_BYTES = 200;

  @TempDir private Path directory;

  /** Starts assigners from the compiled classes, since there is no jar when tests run. */
  private RunCommand runCommand(String flags) throws Exception {
    Path deploy = Files.createDirectories(directory.resolve("deploy"));
    Files.createDirectories(directory.resolve("docs"));
    Files.copy(Path.of("docs", "example.json"), directory.resolve("docs").resolve("example.json"));
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    Files.writeString(
        deploy.resolve("balancer.toml"),
        "run = \"exec " + java + " -XX:TieredStopAtLevel=1 -jar target/pearusher.jar serve\"\n");
    RunCommand command = RunCommand.fromBuild(directory, null, flags);
    return new RunCommand(
        command.root(),
        command
            .command()
            .replace(
                "-jar target/pearusher.jar",
                "-cp '" + System.getProperty("java.class.path") + "' pearusher.cli.Main"));
  }

  private RunOutcome run(String options, String flags) throws Exception {
    return new ScaleRun(RunDescription.defaults().withOptions(options), runCommand(flags))
        .execute();
  }

  @Test
  void realAssignerBindsProxiesAndIsMeasured() throws Exception {
    RunOutcome outcome = run(SMALL, "-Xmx128m");
    Report report = outcome.report();
    assertNull(outcome.limit());
    assertEquals(6, report.value("proxies_bound"));
    assertEquals(0, report.value("a0.died"));
    assertTrue(
        report.value("bind_bytes_max") <= 20 * MAX_WEIGHT_ENTRY_BYTES + MAX_UPDATE_OVERHEAD_BYTES,
        "bytes to bind: " + report.value("bind_bytes_max"));
    assertTrue(report.value("a0.in.heard_messages") > 0);
    assertTrue(report.value("in_force_everywhere_count") > 0);
    assertEquals(0, report.value("drains_unfinished"));
    assertTrue(report.value("a0.rss_end") > 0);
  }

  @Test
  void simulatedAssignersAndWatchersNeedNoProcess() throws Exception {
    RunOutcome outcome =
        run(SMALL + "assigners 0 simulated-assigners 2 simulated-updates 2 watchers 100", "");
    Report report = outcome.report();
    assertNull(outcome.limit());
    assertEquals(6, report.value("proxies_bound"));
    assertEquals(100, report.value("watchers"));
    assertEquals(0, report.value("drains_unfinished"));
    assertTrue(report.value("h1.out.order_messages") > 0);
    assertTrue(report.value("watcher_change_count") >= 100);
  }

  /** For an assigner that ended unexpectedly, the run reports only its end and the cause. */
  @Test
  void reportsUnexpectedEndOfAssignerWithItsCause() throws Exception {
    RunOutcome outcome = run(SMALL, "-Xmx2m");
    assertTrue(outcome.limit().startsWith("limit process: assigner 0 "), outcome.limit());
    assertEquals(1, outcome.report().value("a0.died"));
    assertTrue(Double.isNaN(outcome.report().value("a0.rss_end")));
    assertTrue(Double.isNaN(outcome.report().value("proxies_bound")));
    assertTrue(outcome.report().remarks().stream().anyMatch(one -> one.name().equals("a0.cause")));
  }

  /**
   * An assigner with too few file descriptors binds some of the proxies. The run reports their
   * number and the limit.
   */
  @Test
  void reportsSizeThatIsNotReached() throws Exception {
    RunOutcome outcome =
        run("servers 2 zones 1 proxies 300 sockets 128 bind-wait 2 heap 0", "-Xmx128m");
    assertTrue(outcome.limit().startsWith("limit binds: "), outcome.limit());
    assertTrue(outcome.limit().endsWith(" of 300 proxies"), outcome.limit());
    assertTrue(Double.isNaN(outcome.report().value("bind_time_p50")));
  }
}
