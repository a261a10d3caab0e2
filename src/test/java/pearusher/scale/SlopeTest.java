package pearusher.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Lines fitted to points, and sweeps over sizes with stubbed runs. */
class SlopeTest {
  private static final List<Double> SIZES = List.of(1.0, 2.0, 4.0, 8.0, 16.0);

  @TempDir private Path directory;

  private RunOutcome sweep(DoubleUnaryOperator figure, double maxServers, double budgetSeconds)
      throws Exception {
    Sweep.Plan plan =
        new Sweep.Plan(RunOption.SERVERS, SIZES, 3, List.of("f"), budgetSeconds, directory);
    return new Sweep(
            RunDescription.defaults(),
            plan,
            run -> {
              Report report = new Report();
              report.add("f", figure.applyAsDouble(run.servers()), "B");
              return new RunOutcome(report, run.servers() > maxServers ? "memory" : null);
            })
        .execute();
  }

  @Test
  void fitsStraightLine() throws Exception {
    RunOutcome outcome = sweep(x -> 5 + 3 * x, 100, 60);
    assertNull(outcome.limit());
    assertEquals(3, outcome.report().value("f/servers.slope"), 1e-9);
    assertEquals(5, outcome.report().value("f/servers.intercept"), 1e-9);
    assertEquals(0, outcome.report().value("f/servers.residual"), 1e-9);
    assertEquals(1, outcome.report().value("f/servers.straight"));
    assertEquals(11, outcome.report().value("f@servers=2#3"));
    assertTrue(Files.readString(directory.resolve("f-servers.svg")).contains("<circle"));
  }

  @Test
  void squareIsNotStraight() throws Exception {
    RunOutcome outcome = sweep(x -> x * x, 100, 60);
    assertEquals(0, outcome.report().value("f/servers.straight"));
    assertTrue(outcome.report().value("f/servers.residual") > LeastSquares.MAX_STRAIGHT_RESIDUAL);
  }

  @Test
  void sizeThatIsNotReachedHasNoFigureAndNoLine() throws Exception {
    RunOutcome outcome = sweep(x -> x, 4, 60);
    assertEquals("servers 8, run 1: memory", outcome.limit());
    assertTrue(Double.isNaN(outcome.report().value("f@servers=8#1")));
    assertTrue(Double.isNaN(outcome.report().value("f/servers.slope")));
  }

  @Test
  void sweepEndsWithItsTimeBudget() throws Exception {
    RunOutcome outcome = sweep(x -> x, 100, 0);
    assertEquals("time: 0 s; reached: all before servers 1, run 1", outcome.limit());
    assertFalse(outcome.isComplete());
  }
}
