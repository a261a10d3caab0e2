package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.junit.jupiter.api.Test;

/** Compares the attempts at one server by zone with a model of plain maps. */
class ZoneAttemptStatsTest {
  private static final int ZONES = 12;

  /** Operations of a step; the generator chooses REPORT most often. */
  private enum Operation {
    REPORT,
    PERIOD,
    SCALE,
    MERGE,
    CLEAR
  }

  private record Step(Operation operation, int zone, int succeeded, int failed) {}

  /**
   * Succeeded attempts, their total time in microseconds, and failed attempts, by zone, for the
   * earlier periods and for the current one.
   */
  private static final class Model {
    final Map<Integer, double[]> past = new HashMap<>();
    final Map<Integer, double[]> current = new HashMap<>();

    static void add(Map<Integer, double[]> sums, int zone, double[] counts) {
      double[] sum = sums.computeIfAbsent(zone, absent -> new double[3]);
      for (int k = 0; k < sum.length; k++) {
        sum[k] += counts[k];
      }
    }

    static void scale(Map<Integer, double[]> all, double factor) {
      all.values()
          .forEach(
              sum -> {
                for (int k = 0; k < sum.length; k++) {
                  sum[k] *= factor;
                }
              });
    }

    static double sum(Map<Integer, double[]> all, int column) {
      return all.values().stream().mapToDouble(sum -> sum[column]).sum();
    }

    void apply(Step step) {
      double factor = (1 + step.succeeded % 10) / 10.0;
      switch (step.operation) {
        case REPORT ->
            add(
                current,
                step.zone,
                new double[] {step.succeeded, 100.0 * step.succeeded, step.failed});
        case PERIOD -> {
          scale(past, factor);
          current.forEach((zone, sum) -> add(past, zone, sum));
          scale(current, 0);
        }
        case SCALE -> scale(past, factor);
        case MERGE -> {
          for (Map<Integer, double[]> all : List.of(past, current)) {
            double[] removed = all.remove(step.zone);
            if (removed != null) {
              add(all, ZoneAttemptStats.OTHER_ZONES, removed);
            }
          }
        }
        default -> {
          past.clear();
          current.clear();
        }
      }
    }
  }

  private static void apply(ZoneAttemptStats stats, Step step) {
    double factor = (1 + step.succeeded % 10) / 10.0;
    switch (step.operation) {
      case REPORT -> stats.current(step.zone).add(attempts(step.succeeded, step.failed));
      case PERIOD -> stats.endPeriod(factor);
      case SCALE -> stats.scalePast(factor);
      case MERGE -> stats.mergeIntoOtherZones(step.zone);
      default -> stats.clear();
    }
  }

  private static AttemptStats attempts(double succeeded, double failed) {
    AttemptStats attempts = new AttemptStats();
    attempts.succeeded = succeeded;
    attempts.totalTimeUs = 100.0 * succeeded;
    attempts.failed = failed;
    return attempts;
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Operation> operations =
        Arbitraries.frequencyOf(
            Tuple.of(8, Arbitraries.just(Operation.REPORT)),
            Tuple.of(3, Arbitraries.just(Operation.PERIOD)),
            Tuple.of(2, Arbitraries.just(Operation.MERGE)),
            Tuple.of(1, Arbitraries.of(Operation.SCALE, Operation.CLEAR)));
    return Combinators.combine(
            operations,
            Arbitraries.integers().between(0, ZONES - 1),
            Arbitraries.integers().between(0, 1000),
            Arbitraries.integers().between(0, 50))
        .as(Step::new)
        .list()
        .ofMaxSize(60);
  }

  private static void assertEqualToModel(Model model, ZoneAttemptStats stats) {
    assertEquals(model.current.size(), stats.size(), "zones with an entry");
    assertEquals(model.current.isEmpty(), stats.isEmpty());
    for (int zone = ZoneAttemptStats.OTHER_ZONES; zone < ZONES; zone++) {
      double[] past = model.past.getOrDefault(zone, new double[3]);
      assertEquals(past[0], stats.past(zone).succeeded, 1e-6, "succeeded attempts of zone " + zone);
      assertEquals(past[1], stats.past(zone).totalTimeUs, 1e-3, "time of zone " + zone);
      assertEquals(past[2], stats.past(zone).failed, 1e-6, "failed attempts of zone " + zone);
    }
    assertEquals(Model.sum(model.past, 0), stats.sumPast(zoneStats -> zoneStats.succeeded), 1e-6);
    assertEquals(Model.sum(model.past, 2), stats.sumPast(zoneStats -> zoneStats.failed), 1e-6);
    assertEquals(
        Model.sum(model.current, 1), stats.sumCurrent(zoneStats -> zoneStats.totalTimeUs), 1e-3);
    AttemptStats sum = new AttemptStats();
    stats.addCurrentTo(sum);
    assertEquals(Model.sum(model.current, 0), sum.succeeded, 1e-6);
    assertEquals(Model.sum(model.current, 2), sum.failed, 1e-6);
  }

  @Property(tries = 500)
  void matchesTheModelAfterEachStep(@ForAll("steps") List<Step> steps) {
    Model model = new Model();
    ZoneAttemptStats stats = new ZoneAttemptStats();
    for (Step step : steps) {
      model.apply(step);
      apply(stats, step);
      assertEqualToModel(model, stats);
    }
  }

  /**
   * The sums are equal to the last bit. Guards against decisions that depend on the order in which
   * reports arrive.
   */
  @Property(tries = 200)
  void sumsDoNotDependOnTheOrderInWhichZonesReported(@ForAll long seed) {
    Random random = new Random(seed);
    Map<Integer, Double> attemptsByZone = new TreeMap<>();
    for (int zone = 0; zone < ZONES; zone++) {
      attemptsByZone.put(zone, random.nextDouble() / 3);
    }
    List<Integer> order = new ArrayList<>(attemptsByZone.keySet());
    double[] sums = new double[2];
    for (int k = 0; k < 2; k++) {
      ZoneAttemptStats stats = new ZoneAttemptStats();
      order.forEach(zone -> stats.current(zone).add(attempts(attemptsByZone.get(zone), 0)));
      stats.endPeriod(1);
      sums[k] = stats.sumPast(zoneStats -> zoneStats.succeeded);
      Collections.shuffle(order, random);
    }
    assertEquals(sums[0], sums[1]);
  }

  @Test
  void mergedZonesAreAddedToTheEntryOfOtherZones() {
    ZoneAttemptStats stats = new ZoneAttemptStats();
    stats.current(3).add(attempts(5, 1));
    stats.endPeriod(1);
    stats.current(3).add(attempts(2, 0));
    stats.current(7).add(attempts(4, 0));
    stats.mergeIntoOtherZones(3);
    stats.mergeIntoOtherZones(7);
    stats.mergeIntoOtherZones(9);
    assertEquals(1, stats.size());
    assertEquals(5, stats.past(ZoneAttemptStats.OTHER_ZONES).succeeded);
    assertEquals(6, stats.current(ZoneAttemptStats.OTHER_ZONES).succeeded);
    assertEquals(0, stats.past(3).succeeded);
  }

  /**
   * Zones that never reported share one entry. Guards against a change of that entry, which would
   * affect all of them.
   */
  @Test
  void zoneThatNeverReportedIsZeroAndHasNoEntry() {
    ZoneAttemptStats stats = new ZoneAttemptStats();
    assertEquals(0, stats.past(4).succeeded);
    assertTrue(stats.isEmpty());
    stats.current(4).add(attempts(1, 0));
    stats.endPeriod(1);
    stats.clear();
    assertTrue(stats.isEmpty());
    assertEquals(0, stats.past(4).succeeded);
    assertEquals(0, new ZoneAttemptStats().past(4).succeeded);
  }
}
