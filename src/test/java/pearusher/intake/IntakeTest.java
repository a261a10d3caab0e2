package pearusher.intake;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Merging loses nothing, turns are fair, floods begin and end once. */
class IntakeTest {
  private static final long HOUR = 3_600_000_000L;
  private static final float[] NONE = new float[0];
  private final List<String> log = new ArrayList<>();
  private final List<QueuedReport> out = new ArrayList<>();
  private final Intake intake =
      new Intake(
          new Intake.Bounds(1000, 100, 50, 2_000_000, HOUR, false, 1),
          new Intake.Events() {
            @Override
            public void onOverloadStarted(int origin, double part) {
              log.add("flood " + origin + " " + part);
            }

            @Override
            public void onExpired(QueuedReport item) {
              log.add("expired");
            }

            @Override
            public void onSampled(double kept, double error) {
              log.add("sampled");
            }

            @Override
            public void onOverloadEnded(long merged, long refused) {
              log.add("over " + merged + " " + refused);
            }
          });

  private static QueuedReport item(int origin, String server, long tries) {
    return new QueuedReport(
        origin,
        new QueuedReport.ServerAttempts(server, 0),
        ReportTotals.of(tries, tries / 3, 40_000, 1_000_000, NONE));
  }

  private static ReportTotals sums(List<Integer> of) {
    return ReportTotals.of(of.get(0), Math.min(of.get(0), of.get(1)), of.get(2), of.get(3), NONE);
  }

  private static String shown(ReportTotals s) {
    return s.attempts()
        + " "
        + s.failed()
        + " "
        + s.goodUs()
        + " "
        + s.spanUs()
        + " "
        + s.reports()
        + " "
        + s.meanUs();
  }

  @Property(seed = "18", tries = 500)
  void mergingIsAssociativeAndLosesNothing(
      @ForAll @Size(12) List<@IntRange(max = 600_000) Integer> of) {
    ReportTotals a = sums(of.subList(0, 4));
    ReportTotals b = sums(of.subList(4, 8));
    ReportTotals c = sums(of.subList(8, 12));
    ReportTotals all = a.plus(b).plus(c);
    assertEquals(shown(all), shown(a.plus(b.plus(c))));
    assertEquals(a.attempts() + b.attempts() + c.attempts(), all.attempts());
    assertEquals(a.failed() + b.failed() + c.failed(), all.failed());
    // The mean is weighted by good tries, to the microsecond.
    double good = all.attempts() - all.failed();
    double mean = good == 0 ? 0 : (1.0 * a.goodUs() + b.goodUs() + c.goodUs()) / good;
    assertEquals(mean, (double) all.meanUs(), 0.5);
  }

  @Test
  void belowTheLimitEachReportGoesAsItCame() {
    List<QueuedReport> sent = new ArrayList<>();
    for (int k = 0; k < 100; k++) {
      sent.add(item(k % 3, "s" + k % 5, k));
      assertTrue(intake.offer(sent.get(k)));
    }
    for (int k = 0; k < 100; k++) {
      intake.pollOldest(0, out::add);
    }
    assertEquals(
        sent.stream().map(QueuedReport::totals).toList(),
        out.stream().map(QueuedReport::totals).toList());
    assertEquals(List.of(), log);
    assertEquals(0, intake.size());
  }

  /**
   * One at a thousand times the rate of the rest, naming a new server in each line: it costs itself
   * only.
   */
  @Test
  void aLoudOriginCostsItselfOnly() {
    long sent = 0;
    Map<Integer, Long> heard = new HashMap<>();
    for (int tick = 0; tick < 50; tick++) {
      for (int k = 0; k < 1000; k++) {
        intake.offer(item(99, "new-" + tick + "-" + k, 1));
      }
      for (int origin = 0; origin < 10; origin++) {
        assertTrue(intake.offer(item(origin, "s" + tick % 4, 7)), "origin " + origin);
        sent += 7;
      }
      intake.serve(
          tick * 100_000L, one -> heard.merge(one.origin(), one.totals().attempts(), Long::sum));
      assertTrue(intake.size() <= 50 + 10 * 50);
    }
    long quiet =
        heard.entrySet().stream().filter(e -> e.getKey() < 99).mapToLong(Map.Entry::getValue).sum();
    assertTrue(quiet >= sent - 2 * 10 * 7, quiet + " of " + sent);
    assertTrue(log.get(0).startsWith("flood 99 "), log.get(0));
  }

  /**
   * A relay back after ten minutes with 600 sums about one server: one merged report, all of it.
   */
  @Test
  void aBurstOfOldSumsIsOneReport() {
    for (int k = 0; k < 600; k++) {
      assertTrue(intake.offer(item(5, "s1", 3)));
    }
    intake.serve(0, out::add);
    intake.serve(100_000, out::add);
    long tries = out.stream().mapToLong(i -> i.totals().attempts()).sum();
    assertEquals(1800, tries);
    assertEquals(
        600_000_000L,
        out.stream().mapToLong(i -> i.totals().spanUs()).sum(),
        "the span says how old they are");
    assertEquals(1, out.size());
  }

  @Property(seed = "19", tries = 100)
  void noOriginFallsUnderItsFairShare(
      @ForAll @Size(min = 2, max = 20) List<@IntRange(min = 1, max = 400) Integer> rates) {
    Intake one =
        new Intake(
            new Intake.Bounds(100, 1, 1000, 2_000_000, HOUR, false, 1), new Intake.Events() {});
    int[] heard = new int[rates.size()];
    int[] offered = new int[rates.size()];
    for (int second = 0; second <= 10; second++) {
      for (int origin = 0; origin < rates.size(); origin++) {
        for (int k = 0; k < rates.get(origin); k++) {
          offered[origin] += one.offer(item(origin, "s" + second + "/" + k, 1)) ? 1 : 0;
        }
      }
      one.serve(second * 1_000_000L, i -> heard[i.origin()]++);
    }
    // Each gets what it sent, or its part of the budget but for a turn.
    double fair = 10 * 100.0 / rates.size();
    for (int origin = 0; origin < rates.size(); origin++) {
      assertTrue(
          heard[origin] >= Math.min(offered[origin] - rates.get(origin), fair) - 2,
          "origin " + origin + " " + heard[origin] + " of " + fair);
    }
  }

  /**
   * A flood that hovers at the budget is one flood, and a clock that jumps gives no more than a
   * second.
   */
  @Test
  void aFloodThatHoversIsOneFlood() {
    for (int k = 0; k < 130; k++) {
      intake.offer(item(k % 7, "s" + k, 1));
    }
    assertTrue(intake.isOverloaded());
    for (int tick = 0; tick < 100; tick++) {
      for (int k = 0; k < (tick % 2 == 0 ? 150 : 60); k++) {
        intake.offer(item(k % 7, "t" + k, 1));
      }
      intake.serve(tick * 100_000L, out::add);
    }
    assertEquals(1, log.size(), "" + log);
    int before = out.size();
    for (int k = 0; k < 3000; k++) {
      intake.offer(item(k, "u" + k, 1));
    }
    intake.serve(5_000_000_000_000L, out::add);
    assertTrue(out.size() - before <= 1000, "a second's worth");
    intake.serve(0, out::add);
    assertTrue(out.size() - before <= 1000);
    for (int tick = 1; tick < 60; tick++) {
      intake.serve(tick * 100_000L, out::add);
    }
    assertFalse(intake.isOverloaded());
    assertEquals(2, log.size(), "" + log);
    assertEquals(0, intake.size());
  }

  /**
   * Sums over a subset are unbiased: over many seeds their mean nears the truth as fast as it must.
   */
  @Test
  void aSampleStandsForAllWithoutBias() {
    List<Integer> weights = new ArrayList<>();
    for (int k = 0; k < 200; k++) {
      weights.add(1 + k * k % 97 + (k % 50 == 0 ? 900 : 0));
    }
    double truth = weights.stream().filter(w -> w % 2 == 0).mapToInt(w -> w).sum();
    int seeds = 4000;
    double sum = 0;
    double squares = 0;
    double stated = 0;
    for (int seed = 0; seed < seeds; seed++) {
      double estimate = 0;
      for (PrioritySample.Kept<Integer> one :
          new PrioritySample<>(weights, w -> w, 40, new SplittableRandom(seed)).kept()) {
        estimate += one.item() % 2 == 0 ? one.estimate() : 0;
        stated += one.item() % 2 == 0 ? one.variance() / seeds : 0;
      }
      sum += estimate;
      squares += (estimate - truth) * (estimate - truth);
    }
    double deviation = Math.sqrt(squares / seeds);
    assertEquals(truth, sum / seeds, 4 * deviation / Math.sqrt(seeds));
    assertEquals(
        squares / seeds, stated, 0.1 * stated, "the variance that it states is the one it has");
    // Without the threshold each would stand for itself alone: that is what the bound above would
    // see.
    assertTrue(truth * 0.6 > 4 * deviation / Math.sqrt(seeds));
  }

  /** At ten and a hundred times the budget: the view's totals lie within three stated errors. */
  @Test
  void theStatedErrorIsMet() {
    for (int times : new int[] {1, 10, 100}) {
      double[] error = new double[1];
      Intake one =
          new Intake(
              new Intake.Bounds(200, 50, 100_000, 2_000_000, HOUR, true, 7),
              new Intake.Events() {
                @Override
                public void onSampled(double kept, double now) {
                  error[0] = Math.max(error[0], now);
                }
              });
      SplittableRandom random = new SplittableRandom(5);
      long[] truth = new long[2];
      long[] heard = new long[2];
      for (int second = 0; second < 20; second++) {
        for (int k = 0; k < 200 * times; k++) {
          long tries = random.nextInt(100);
          long failed = tries / 10;
          truth[0] += tries;
          truth[1] += failed;
          one.offer(
              new QueuedReport(
                  k % 50,
                  new QueuedReport.ServerAttempts("s" + k, second),
                  ReportTotals.of(tries, failed, 40_000, 1_000_000, NONE)));
        }
        for (int part = 0; part < 10; part++) {
          one.serve(
              second * 1_000_000L + part * 100_000L,
              i -> {
                heard[0] += i.totals().attempts();
                heard[1] += i.totals().failed();
                assertTrue(
                    i.totals().attempts() == i.totals().failed()
                        || Math.abs(i.totals().meanUs() - 40_000) <= 1,
                    "the mean stays");
              });
        }
      }
      for (int more = 0; more < 30 && one.isOverloaded(); more++) {
        one.serve(
            (20 + more) * 1_000_000L,
            i -> {
              heard[0] += i.totals().attempts();
              heard[1] += i.totals().failed();
            });
      }
      double off = Math.abs(1.0 * heard[0] / truth[0] - 1);
      assertTrue(
          off <= 3 * error[0] + 1e-9, times + " times: off by " + off + ", stated " + error[0]);
      assertTrue(times == 1 || (error[0] > 0 && error[0] < 0.2), "" + error[0]);
    }
  }

  /**
   * 600 sums of ten minutes that wait together: only the last is of now, the first is ten minutes
   * old.
   */
  @Test
  void whatWaitsBehindAReportTellsItsAge() {
    Intake one =
        new Intake(new Intake.Bounds(1000, 5000, 50, 2_000_000, 120_000_000, false, 1), quiet());
    for (int k = 0; k < 600; k++) {
      one.offer(item(5, "s1", 3));
    }
    one.offer(item(6, "s1", 3));
    for (int k = 0; k < 601; k++) {
      one.pollOldest(1_000_000, out::add);
    }
    assertEquals(480 - 1, expired, "those of more than two minutes are let go");
    assertEquals(120_000_000, out.get(0).ageUs());
    assertEquals(0, out.get(out.size() - 2).ageUs());
    assertEquals(0, out.get(out.size() - 1).ageUs(), "another origin's report is of now");
  }

  private int expired;

  private Intake.Events quiet() {
    return new Intake.Events() {
      @Override
      public void onExpired(QueuedReport item) {
        expired++;
      }
    };
  }

  /**
   * The same burst one by one over two seconds: after the first the silence shows, and is made up
   * for.
   */
  @Test
  void aBurstAfterASilenceIsAsOldAsTheSilence() {
    Intake one = new Intake(new Intake.Bounds(1000, 5000, 50, 2_000_000, HOUR, false, 1), quiet());
    long now = 0;
    for (int k = 0; k < 5; k++) {
      one.offer(item(5, "s1", 3));
      one.pollOldest(now += 1_000_000, out::add);
    }
    assertTrue(out.stream().allMatch(i -> i.ageUs() == 0), "at its pace each is of now");
    now += 600_000_000;
    for (int k = 0; k < 600; k++) {
      one.offer(item(5, "s1", 3));
      one.pollOldest(now += 3_000, out::add);
    }
    assertEquals(0, out.get(5).ageUs(), "one report after a silence may be of now");
    long burst = out.subList(6, 605).stream().filter(i -> i.ageUs() > 2_000_000).count();
    assertTrue(burst > 590, burst + " of 599 are old");
    long last = HOUR;
    for (int k = 6; k < 605; k++) {
      assertTrue(out.get(k).ageUs() <= last + 3_000, "they grow younger");
      last = out.get(k).ageUs();
    }
    for (int k = 0; k < 5; k++) {
      one.offer(item(5, "s1", 3));
      one.pollOldest(now += 1_000_000, out::add);
    }
    assertEquals(0, out.get(out.size() - 1).ageUs(), "and then they are of now again");
  }

  /** Whatever the clock and the pace: what was reported later is never taken for older in time. */
  @Property(seed = "20", tries = 300)
  void agesNeverRunBackwards(
      @ForAll @Size(max = 60) List<@IntRange(min = -3000, max = 5000) Integer> steps) {
    ReportAgeEstimator ages = new ReportAgeEstimator(10);
    long now = 1_000_000_000;
    long end = Long.MIN_VALUE;
    long top = now;
    for (int step : steps) {
      now += step * 1000L;
      top = Math.max(top, now);
      boolean silence = step > 1000;
      long age = ages.age(item(1, "s", 1), Math.abs(step) % 7 == 0 ? 2_000_000 : 0, now);
      assertTrue(age >= 0);
      // A clock that jumped back can't be told from the ends that it said before.
      if (now >= top) {
        assertTrue(now - age >= end, "steps " + steps + " at " + step);
      }
      // One report after a silence is a guess, which the next one may correct.
      end = silence ? end : Math.max(end, now - age);
    }
    for (int k = 0; k < 50; k++) {
      ages.age(item(k, "s", 1), 0, now);
    }
    assertEquals(10, ages.size());
  }
}
