package pearusher.policy;

/**
 * Detects overload of the fleet, with outliers excluded, and computes the share of requests to
 * admit. The share falls while utilization, failures or response times indicate overload, and rises
 * as soon as they no longer do. Including older reports would keep the share low long after the end
 * of an overload.
 */
final class OverloadDetector {
  /**
   * Share of failed attempts above which the fleet is overloaded, if response times have risen as
   * well.
   */
  static final double OVERLOAD_FAILURE_SHARE = 0.1;

  /** Mean response time above which the fleet is overloaded, in shortest latency objectives. */
  private static final double OVERLOAD_LATENCY_OBJECTIVES = 0.6;

  /**
   * Failures indicate overload only while the mean response time exceeds that of the quickest
   * period by this factor.
   */
  private static final double SLOWER_THAN_QUICKEST_RATIO = 1.4;

  /** Growth factor per period of the mean response time recorded for the quickest period. */
  private static final double QUICKEST_MEAN_GROWTH_FACTOR = 1.02;

  /** Number of periods with reports before the quickest mean is recorded. */
  private static final int MIN_PERIODS_WITH_REPORTS = 2;

  /** Share of the overload thresholds below which the load allows the admitted share to grow. */
  private static final double RECOVERY_THRESHOLD_SHARE = 0.7;

  /** Mean utilization above which the fleet is overloaded. */
  private static final double OVERLOAD_UTILIZATION = 0.85;

  /** Mean utilization to return to after an overload. */
  private static final double TARGET_UTILIZATION = 0.7;

  /** Minimum share of the admitted requests that remains after a single cut. */
  private static final double MIN_REMAINING_SHARE_PER_CUT = 0.6;

  /**
   * Multiplies the sum of a report cycle and a latency objective: the effect of a cut is visible in
   * the reports after that time.
   */
  private static final double CUT_EFFECT_DELAY_FACTOR = 1.5;

  /**
   * Ratio of the needed cut to that of the previous period below which the overload is clearing and
   * no further cut is made.
   */
  private static final double IMPROVING_CUT_RATIO = 0.8;

  /** Growth factor of the admitted share per period without overload. */
  private static final double ADMITTED_SHARE_GROWTH_FACTOR = 1.15;

  /**
   * Growth factor of the admitted share per period near the share at which the last overload was
   * detected.
   */
  private static final double GROWTH_FACTOR_NEAR_OVERLOAD = 1.04;

  /** Share of the admitted share before the last cut from which on growth is slow. */
  private static final double NEAR_OVERLOAD_SHARE = 0.85;

  /** Lower bound of the admitted share of all requests. */
  private static final double MIN_ADMITTED_SHARE = 0.15;

  /** Restored admitted share from which on there is no overload. */
  private static final double MIN_RESTORED_SHARE_WITHOUT_OVERLOAD = 0.85;

  private final PolicySettings settings;
  private final PolicyCommands commands;
  private final ControlClock clock;
  private final ReportCycle cycle;
  private final ChannelBudget channel;
  private final ResponseTimeEstimator estimator;
  private final UtilizationMonitor utilization;

  private boolean overloaded;
  private double admittedShare = 1;

  /** Admitted share before the last cut, at which the fleet was overloaded. */
  private double shareBeforeLastCut = 1;

  private long lastCutUs;
  private double lastNeededCut;

  /** Mean response time of the quickest period, in shortest latency objectives. */
  private double quickestObjectives = 1;

  /**
   * Load that the reports or the utilization of a period indicate, and the reaction to it.
   *
   * @param feedbackDelayUs delay after which they reflect a change of the admitted share, in
   *     microseconds
   */
  private record Assessment(
      boolean overloaded,
      boolean recovered,
      boolean improving,
      double neededCut,
      double growth,
      double feedbackDelayUs) {}

  OverloadDetector(
      PolicySettings settings,
      PolicyCommands commands,
      ControlClock clock,
      ReportCycle cycle,
      ChannelBudget channel,
      ResponseTimeEstimator estimator,
      UtilizationMonitor utilization) {
    this.settings = settings;
    this.commands = commands;
    this.clock = clock;
    this.cycle = cycle;
    this.channel = channel;
    this.estimator = estimator;
    this.utilization = utilization;
  }

  boolean isOverloaded() {
    return overloaded;
  }

  /** Returns the share of all requests to admit, from {@link #MIN_ADMITTED_SHARE} to 1. */
  double admittedShare() {
    return admittedShare;
  }

  /** Resumes an overload that an earlier process detected. */
  void restoreOverload() {
    overloaded = true;
  }

  /** Resumes the admitted share that the reports after a restart show. */
  void restoreAdmittedShare(double share) {
    admittedShare = Math.max(MIN_ADMITTED_SHARE, Math.min(1, share));
    overloaded = admittedShare < MIN_RESTORED_SHARE_WITHOUT_OVERLOAD;
    if (!overloaded) {
      admittedShare = 1;
    }
  }

  /** Evaluates a control period; does nothing without reports. */
  void update(long nowUs) {
    if (!clock.periodHasReports()) {
      return;
    }
    Assessment assessment = assessReports();
    lastNeededCut = assessment.neededCut();
    if (utilization.hasResults()) {
      assessment = assessUtilization(assessment);
    }
    adjustAdmittedShare(nowUs, assessment);
    updateState(assessment.overloaded());
  }

  private Assessment assessReports() {
    AttemptStats recent = estimator.lastCycleStats();
    double failureShare = recent.failed / Math.max(1, recent.succeeded + recent.failed);
    double objectives =
        recent.totalTimeUs / Math.max(1, recent.succeeded) / settings.shortestLatencyObjectiveUs();
    if (clock.periodsWithReports() >= MIN_PERIODS_WITH_REPORTS && recent.succeeded >= 1) {
      quickestObjectives = Math.min(quickestObjectives * QUICKEST_MEAN_GROWTH_FACTOR, objectives);
    }
    boolean slower =
        objectives > SLOWER_THAN_QUICKEST_RATIO * quickestObjectives || recent.succeeded < 1;
    boolean failing = failureShare > OVERLOAD_FAILURE_SHARE && slower;
    boolean slow = objectives > OVERLOAD_LATENCY_OBJECTIVES;
    boolean notFailing =
        failureShare < RECOVERY_THRESHOLD_SHARE * OVERLOAD_FAILURE_SHARE || !slower;
    boolean recovered =
        notFailing && objectives < RECOVERY_THRESHOLD_SHARE * OVERLOAD_LATENCY_OBJECTIVES;
    double neededCut =
        Math.max(slower ? failureShare : 0, objectives - OVERLOAD_LATENCY_OBJECTIVES);
    boolean improving = neededCut < IMPROVING_CUT_RATIO * lastNeededCut;
    boolean nearOverload = admittedShare >= NEAR_OVERLOAD_SHARE * shareBeforeLastCut;
    double growth = nearOverload ? GROWTH_FACTOR_NEAR_OVERLOAD : ADMITTED_SHARE_GROWTH_FACTOR;
    return new Assessment(
        failing || slow, recovered, improving, neededCut, growth, cycle.durationUs());
  }

  /**
   * Assesses the load by utilization, which shows the current load. Reports show the load of the
   * last report cycle.
   */
  private Assessment assessUtilization(Assessment reports) {
    double meanUtilization = utilization.mean();
    boolean overUtilized = meanUtilization > OVERLOAD_UTILIZATION;
    double neededCut =
        Math.max(overUtilized ? reports.neededCut() : 0, 1 - TARGET_UTILIZATION / meanUtilization);
    return new Assessment(
        overUtilized || (reports.overloaded() && meanUtilization > TARGET_UTILIZATION),
        meanUtilization < TARGET_UTILIZATION,
        false,
        neededCut,
        Math.min(
            ADMITTED_SHARE_GROWTH_FACTOR, StrictMath.cbrt(TARGET_UTILIZATION / meanUtilization)),
        settings.controlPeriodUs() + channel.drainTimeUs() / CUT_EFFECT_DELAY_FACTOR);
  }

  private void adjustAdmittedShare(long nowUs, Assessment assessment) {
    double cutEffectDelayUs =
        CUT_EFFECT_DELAY_FACTOR
                * (assessment.feedbackDelayUs() + settings.shortestLatencyObjectiveUs())
            + settings.channel().maxPushDelayUs();
    boolean lastCutTookEffect = nowUs - lastCutUs >= cutEffectDelayUs;
    if (assessment.overloaded() && lastCutTookEffect && !assessment.improving()) {
      lastCutUs = nowUs;
      shareBeforeLastCut = admittedShare;
    }
    // Reports that arrive before the effect of a cut is visible describe the load before the cut,
    // and the worst of them determines how deep the cut is.
    if (assessment.overloaded() && (!lastCutTookEffect || lastCutUs == nowUs)) {
      double remainder = Math.max(MIN_REMAINING_SHARE_PER_CUT, 1 - assessment.neededCut());
      admittedShare =
          Math.min(admittedShare, Math.max(MIN_ADMITTED_SHARE, shareBeforeLastCut * remainder));
    } else if (assessment.recovered()) {
      admittedShare = Math.min(1, admittedShare * assessment.growth());
    }
  }

  private void updateState(boolean overloadedNow) {
    boolean ends = !overloadedNow && admittedShare >= 1;
    if (overloaded != overloadedNow && (overloadedNow || ends)) {
      overloaded = overloadedNow;
      commands.log(overloaded ? "overload started" : "overload ended");
    }
  }
}
