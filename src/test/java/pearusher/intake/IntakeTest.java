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

/** Tests of merging, fair queueing, sampling, report ages, and the start and end of an overload. */
class IntakeTest {
  private static final long HOUR_US = 3_600_000_000L;
  private static final long TICK_US = 100_000;
  private static final float[] NO_LOAD = new float[0];

  private final List<String> events = new ArrayList<>();
  private final List<QueuedReport> delivered = new ArrayList<>();
  private final Intake intake =
      new Intake(
          new Intake.Bounds(1000, 100, 50, 2_000_000, HOUR_US, false, 1), new RecordedEvents());

  private final class RecordedEvents implements Intake.Events {
    @Override
    public void onOverloadStarted(int origin, double share) {
      events.add("started " + origin + " " + share);
    }

    @Override
    public void onExpired(QueuedReport report) {
      events.add("expired");
    }

    @Override
    public void onSampled(double keptShare, double relativeError) {
      events.add("sampled");
    }

    @Override
    public void onOverloadEnded(long merged, long refused) {
      events.add("ended " + merged + " " + refused);
    }
  }

  private static QueuedReport report(int origin, String server, long attempts) {
    return new QueuedReport(
        origin,
        new QueuedReport.ServerAttempts(server, 0),
        ReportTotals.of(attempts, attempts / 3, 40_000, 1_000_000, NO_LOAD));
  }

  @Test
  void reportsBelowTheLimitAreDeliveredUnchanged() {
    List<QueuedReport> offered = new ArrayList<>();
    for (int k = 0; k < 100; k++) {
      offered.add(report(k % 3, "s" + k % 5, k));
      assertTrue(intake.offer(offered.get(k)));
    }
    for (int k = 0; k < 100; k++) {
      intake.pollOldest(0, delivered::add);
    }
    assertEquals(
        offered.stream().map(QueuedReport::totals).toList(),
        delivered.stream().map(QueuedReport::totals).toList());
    assertEquals(List.of(), events);
    assertEquals(0, intake.size());
  }

  /**
   * One origin sends a thousand times as many reports as each other origin, each about a new server
   * so that none are merged. Its reports must not displace those of the others.
   */
  @Test
  void busyOriginDoesNotDisplaceReportsOfOtherOrigins() {
    int busyOrigin = 99;
    long offeredAttempts = 0;
    Map<Integer, Long> deliveredAttempts = new HashMap<>();
    for (int tick = 0; tick < 50; tick++) {
      for (int k = 0; k < 1000; k++) {
        intake.offer(report(busyOrigin, "new-" + tick + "-" + k, 1));
      }
      for (int origin = 0; origin < 10; origin++) {
        assertTrue(intake.offer(report(origin, "s" + tick % 4, 7)), "origin " + origin);
        offeredAttempts += 7;
      }
      intake.serve(
          tick * TICK_US,
          report ->
              deliveredAttempts.merge(report.origin(), report.totals().attempts(), Long::sum));
      assertTrue(intake.size() <= 50 + 10 * 50);
    }
    deliveredAttempts.remove(busyOrigin);
    long attemptsOfOthers = deliveredAttempts.values().stream().mapToLong(Long::longValue).sum();
    assertTrue(
        attemptsOfOthers >= offeredAttempts - 2 * 10 * 7,
        attemptsOfOthers + " of " + offeredAttempts);
    assertTrue(events.get(0).startsWith("started 99 "), events.get(0));
  }

  /** A collector reconnects after ten minutes and sends 600 reports about one server at once. */
  @Test
  void burstOfDelayedReportsIsMergedIntoOneReport() {
    for (int k = 0; k < 600; k++) {
      assertTrue(intake.offer(report(5, "s1", 3)));
    }
    intake.serve(0, delivered::add);
    intake.serve(TICK_US, delivered::add);
    long attempts = delivered.stream().mapToLong(report -> report.totals().attempts()).sum();
    assertEquals(1800, attempts);
    assertEquals(
        600_000_000L,
        delivered.stream().mapToLong(report -> report.totals().spanUs()).sum(),
        "spans are summed");
    assertEquals(1, delivered.size());
  }

  @Property(seed = "19", tries = 100)
  void eachOriginGetsItsFairShare(
      @ForAll @Size(min = 2, max = 20) List<@IntRange(min = 1, max = 400) Integer> rates) {
    Intake overloaded =
        new Intake(
            new Intake.Bounds(100, 1, 1000, 2_000_000, HOUR_US, false, 1), new Intake.Events() {});
    int[] deliveredCount = new int[rates.size()];
    int[] acceptedCount = new int[rates.size()];
    for (int second = 0; second <= 10; second++) {
      for (int origin = 0; origin < rates.size(); origin++) {
        for (int k = 0; k < rates.get(origin); k++) {
          boolean isAccepted = overloaded.offer(report(origin, "s" + second + "/" + k, 1));
          acceptedCount[origin] += isAccepted ? 1 : 0;
        }
      }
      overloaded.serve(second * 1_000_000L, report -> deliveredCount[report.origin()]++);
    }
    // Each origin gets all accepted reports or its share of the rate limit, to within two reports.
    double fairShare = 10 * 100.0 / rates.size();
    for (int origin = 0; origin < rates.size(); origin++) {
      assertTrue(
          deliveredCount[origin]
              >= Math.min(acceptedCount[origin] - rates.get(origin), fairShare) - 2,
          "origin " + origin + " " + deliveredCount[origin] + " of " + fairShare);
    }
  }

  /**
   * A load that alternates above and below the limit must not start a new overload each time. A
   * clock that jumps must release no more than the reports of one second.
   */
  @Test
  void loadCloseToTheLimitAndClockJumpsGiveOneOverload() {
    for (int k = 0; k < 130; k++) {
      intake.offer(report(k % 7, "s" + k, 1));
    }
    assertTrue(intake.isOverloaded());
    for (int tick = 0; tick < 100; tick++) {
      for (int k = 0; k < (tick % 2 == 0 ? 150 : 60); k++) {
        intake.offer(report(k % 7, "t" + k, 1));
      }
      intake.serve(tick * TICK_US, delivered::add);
    }
    assertEquals(1, events.size(), "" + events);
    int sizeBefore = delivered.size();
    for (int k = 0; k < 3000; k++) {
      intake.offer(report(k, "u" + k, 1));
    }
    intake.serve(5_000_000_000_000L, delivered::add);
    assertTrue(delivered.size() - sizeBefore <= 1000, "at most the reports of one second");
    intake.serve(0, delivered::add);
    assertTrue(delivered.size() - sizeBefore <= 1000);
    for (int tick = 1; tick < 60; tick++) {
      intake.serve(tick * TICK_US, delivered::add);
    }
    assertFalse(intake.isOverloaded());
    assertEquals(2, events.size(), "" + events);
    assertEquals(0, intake.size());
  }

  /** Totals lie within three standard errors at 1, 10 and 100 times the rate limit. */
  @Test
  void sampledTotalsLieWithinTheEstimatedError() {
    for (int loadFactor : new int[] {1, 10, 100}) {
      new SampledLoad(loadFactor).assertTotalsLieWithinTheEstimatedError();
    }
  }

  /** Intake with sampling that receives a multiple of its rate limit. */
  private static final class SampledLoad {
    private static final int LIMIT_PER_SECOND = 200;
    private static final int SECONDS = 20;
    private static final long MEAN_US = 40_000;

    private final int loadFactor;
    private final SplittableRandom random = new SplittableRandom(5);
    private double estimatedError;
    private long offeredAttempts;
    private long deliveredAttempts;
    private final Intake intake =
        new Intake(
            new Intake.Bounds(LIMIT_PER_SECOND, 50, 100_000, 2_000_000, HOUR_US, true, 7),
            new Intake.Events() {
              @Override
              public void onSampled(double keptShare, double relativeError) {
                estimatedError = Math.max(estimatedError, relativeError);
              }
            });

    SampledLoad(int loadFactor) {
      this.loadFactor = loadFactor;
    }

    void assertTotalsLieWithinTheEstimatedError() {
      for (int second = 0; second < SECONDS; second++) {
        offerReportsOfOneSecond(second);
        for (int tick = 0; tick < 10; tick++) {
          intake.serve(second * 1_000_000L + tick * TICK_US, this::checkAndCount);
        }
      }
      for (int more = 0; more < 30 && intake.isOverloaded(); more++) {
        intake.serve((SECONDS + more) * 1_000_000L, this::checkAndCount);
      }
      double error = Math.abs(1.0 * deliveredAttempts / offeredAttempts - 1);
      assertTrue(
          error <= 3 * estimatedError + 1e-9,
          loadFactor + " times: off by " + error + ", estimated error " + estimatedError);
      assertTrue(
          loadFactor == 1 || (estimatedError > 0 && estimatedError < 0.2), "" + estimatedError);
    }

    private void offerReportsOfOneSecond(int second) {
      for (int k = 0; k < LIMIT_PER_SECOND * loadFactor; k++) {
        long attempts = random.nextInt(100);
        offeredAttempts += attempts;
        intake.offer(
            new QueuedReport(
                k % 50,
                new QueuedReport.ServerAttempts("s" + k, second),
                ReportTotals.of(attempts, attempts / 10, MEAN_US, 1_000_000, NO_LOAD)));
      }
    }

    private void checkAndCount(QueuedReport report) {
      ReportTotals totals = report.totals();
      deliveredAttempts += totals.attempts();
      assertTrue(
          totals.attempts() == totals.failed() || Math.abs(totals.meanUs() - MEAN_US) <= 1,
          "the mean is preserved");
    }
  }

  private Intake intakeWithMaxAge(long maxAgeUs) {
    return new Intake(
        new Intake.Bounds(1000, 5000, 50, 2_000_000, maxAgeUs, false, 1), new RecordedEvents());
  }

  /**
   * 600 reports that cover ten minutes are queued together: the last is current, the first is ten
   * minutes old, and those older than the limit expire.
   */
  @Test
  void reportAgeIsTheSumOfTheSpansQueuedBehindIt() {
    Intake limited = intakeWithMaxAge(120_000_000);
    for (int k = 0; k < 600; k++) {
      limited.offer(report(5, "s1", 3));
    }
    limited.offer(report(6, "s1", 3));
    for (int k = 0; k < 601; k++) {
      limited.pollOldest(1_000_000, delivered::add);
    }
    assertEquals(480 - 1, events.stream().filter("expired"::equals).count());
    assertEquals(120_000_000, delivered.get(0).ageUs());
    assertEquals(0, delivered.get(delivered.size() - 2).ageUs());
    assertEquals(
        0, delivered.get(delivered.size() - 1).ageUs(), "the report of another origin is current");
  }

  /** 600 reports arrive within two seconds after a gap of ten minutes, each delivered at once. */
  @Test
  void burstAfterAGapIsAsOldAsTheGap() {
    Intake unlimited = intakeWithMaxAge(HOUR_US);
    long nowUs = 0;
    for (int k = 0; k < 5; k++) {
      nowUs += 1_000_000;
      unlimited.offer(report(5, "s1", 3));
      unlimited.pollOldest(nowUs, delivered::add);
    }
    assertTrue(
        delivered.stream().allMatch(report -> report.ageUs() == 0),
        "reports at one per second are current");
    nowUs += 600_000_000;
    for (int k = 0; k < 600; k++) {
      nowUs += 3_000;
      unlimited.offer(report(5, "s1", 3));
      unlimited.pollOldest(nowUs, delivered::add);
    }
    assertEquals(0, delivered.get(5).ageUs(), "a single report after a gap counts as current");
    long oldCount =
        delivered.subList(6, 605).stream().filter(report -> report.ageUs() > 2_000_000).count();
    assertTrue(oldCount > 590, oldCount + " of 599 are old");
    long lastAgeUs = HOUR_US;
    for (QueuedReport report : delivered.subList(6, 605)) {
      assertTrue(report.ageUs() <= lastAgeUs + 3_000, "ages decrease");
      lastAgeUs = report.ageUs();
    }
    for (int k = 0; k < 5; k++) {
      nowUs += 1_000_000;
      unlimited.offer(report(5, "s1", 3));
      unlimited.pollOldest(nowUs, delivered::add);
    }
    assertEquals(0, delivered.get(delivered.size() - 1).ageUs(), "reports are current again");
  }
}
