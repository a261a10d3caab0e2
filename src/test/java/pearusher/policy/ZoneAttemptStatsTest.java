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

/** One server's tries by zone, against plain maps. */
class ZoneAttemptStatsTest {
  private static final int ZONES = 12;

  /** What may happen to the tallies; weights make reports the usual step. */
  private enum Kind {
    REPORT,
    PERIOD,
    SCALE,
    MERGE,
    CLEAR
  }

  private record Step(Kind kind, int zone, int good, int bad) {}

  /** The plain model: good, microseconds and bad by zone, of the past and of the period at hand. */
  private static final class Model {
    final Map<Integer, double[]> past = new HashMap<>();
    final Map<Integer, double[]> fresh = new HashMap<>();

    static void add(Map<Integer, double[]> to, int zone, double[] what) {
      double[] sum = to.computeIfAbsent(zone, z -> new double[3]);
      for (int k = 0; k < sum.length; k++) {
        sum[k] += what[k];
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

    static double sum(Map<Integer, double[]> all, int k) {
      return all.values().stream().mapToDouble(sum -> sum[k]).sum();
    }

    void apply(Step step) {
      double part = (1 + step.good % 10) / 10.0;
      switch (step.kind) {
        case REPORT -> add(fresh, step.zone, new double[] {step.good, 100.0 * step.good, step.bad});
        case PERIOD -> {
          scale(past, part);
          fresh.forEach((zone, sum) -> add(past, zone, sum));
          scale(fresh, 0);
        }
        case SCALE -> scale(past, part);
        case MERGE -> {
          for (Map<Integer, double[]> all : List.of(past, fresh)) {
            double[] gone = all.remove(step.zone);
            if (gone != null) {
              add(all, ZoneAttemptStats.ELSEWHERE, gone);
            }
          }
        }
        default -> {
          past.clear();
          fresh.clear();
        }
      }
    }
  }

  private static void apply(ZoneAttemptStats tallies, Step step) {
    double part = (1 + step.good % 10) / 10.0;
    switch (step.kind) {
      case REPORT -> tallies.fresh(step.zone).add(tally(step.good, step.bad));
      case PERIOD -> tallies.endPeriod(part);
      case SCALE -> tallies.scalePast(part);
      case MERGE -> tallies.merge(step.zone);
      default -> tallies.clear();
    }
  }

  private static AttemptStats tally(double good, double bad) {
    AttemptStats tally = new AttemptStats();
    tally.good = good;
    tally.sumUs = 100.0 * good;
    tally.bad = bad;
    return tally;
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Kind> kinds =
        Arbitraries.frequencyOf(
            Tuple.of(8, Arbitraries.just(Kind.REPORT)),
            Tuple.of(3, Arbitraries.just(Kind.PERIOD)),
            Tuple.of(2, Arbitraries.just(Kind.MERGE)),
            Tuple.of(1, Arbitraries.of(Kind.SCALE, Kind.CLEAR)));
    return Combinators.combine(
            kinds,
            Arbitraries.integers().between(0, ZONES - 1),
            Arbitraries.integers().between(0, 1000),
            Arbitraries.integers().between(0, 50))
        .as(Step::new)
        .list()
        .ofMaxSize(60);
  }

  private static void assertLike(Model model, ZoneAttemptStats tallies) {
    assertEquals(model.fresh.size(), tallies.size(), "zones told apart");
    assertEquals(model.fresh.isEmpty(), tallies.isEmpty());
    for (int zone = ZoneAttemptStats.ELSEWHERE; zone < ZONES; zone++) {
      double[] past = model.past.getOrDefault(zone, new double[3]);
      assertEquals(past[0], tallies.past(zone).good, 1e-6, "good of zone " + zone);
      assertEquals(past[1], tallies.past(zone).sumUs, 1e-3, "time of zone " + zone);
      assertEquals(past[2], tallies.past(zone).bad, 1e-6, "bad of zone " + zone);
    }
    assertEquals(Model.sum(model.past, 0), tallies.sumPast(t -> t.good), 1e-6);
    assertEquals(Model.sum(model.past, 2), tallies.sumPast(t -> t.bad), 1e-6);
    assertEquals(Model.sum(model.fresh, 1), tallies.sumFresh(t -> t.sumUs), 1e-3);
    AttemptStats sum = new AttemptStats();
    tallies.addFreshTo(sum);
    assertEquals(Model.sum(model.fresh, 0), sum.good, 1e-6);
    assertEquals(Model.sum(model.fresh, 2), sum.bad, 1e-6);
  }

  @Property(tries = 500)
  void asPlainMapsAfterEachStep(@ForAll("steps") List<Step> steps) {
    Model model = new Model();
    ZoneAttemptStats tallies = new ZoneAttemptStats();
    for (Step step : steps) {
      model.apply(step);
      apply(tallies, step);
      assertLike(model, tallies);
    }
  }

  /** Sums to the last bit: decisions must not depend on the order in which reports came. */
  @Property(tries = 200)
  void sumsDoNotDependOnTheOrderInWhichZonesReported(@ForAll long seed) {
    Random random = new Random(seed);
    Map<Integer, Double> each = new TreeMap<>();
    for (int zone = 0; zone < ZONES; zone++) {
      each.put(zone, random.nextDouble() / 3);
    }
    List<Integer> order = new ArrayList<>(each.keySet());
    double[] sums = new double[2];
    for (int k = 0; k < 2; k++) {
      ZoneAttemptStats tallies = new ZoneAttemptStats();
      order.forEach(zone -> tallies.fresh(zone).add(tally(each.get(zone), 0)));
      tallies.endPeriod(1);
      sums[k] = tallies.sumPast(t -> t.good);
      Collections.shuffle(order, random);
    }
    assertEquals(sums[0], sums[1]);
  }

  @Test
  void aZoneLetGoCountsOnAmongThoseFromElsewhereAndAnotherJoinsIt() {
    ZoneAttemptStats tallies = new ZoneAttemptStats();
    tallies.fresh(3).add(tally(5, 1));
    tallies.endPeriod(1);
    tallies.fresh(3).add(tally(2, 0));
    tallies.fresh(7).add(tally(4, 0));
    tallies.merge(3);
    tallies.merge(7);
    tallies.merge(9);
    assertEquals(1, tallies.size());
    assertEquals(5, tallies.past(ZoneAttemptStats.ELSEWHERE).good);
    assertEquals(6, tallies.fresh(ZoneAttemptStats.ELSEWHERE).good);
    assertEquals(0, tallies.past(3).good);
  }

  /** What stands for a zone that never reported is shared: it must stay zero. */
  @Test
  void aZoneThatNeverReportedIsZeroAndKeepsNothing() {
    ZoneAttemptStats tallies = new ZoneAttemptStats();
    assertEquals(0, tallies.past(4).good);
    assertTrue(tallies.isEmpty());
    tallies.fresh(4).add(tally(1, 0));
    tallies.endPeriod(1);
    tallies.clear();
    assertTrue(tallies.isEmpty());
    assertEquals(0, tallies.past(4).good);
    assertEquals(0, new ZoneAttemptStats().past(4).good);
  }
}
