package pearusher.policy;

/**
 * Detects overload of the fleet, outliers aside, and decides which share of the requests to admit.
 * The share falls while utilization, failures or response times show overload, and rises as soon as
 * they no longer do: older evidence would keep it low long after the overload.
 */
final class OverloadDetector {
  /** Share of failed attempts that is overload, if responses are slower as well. */
  static final double OVERLOAD_FAILURE_SHARE = 0.1;

  /** Mean response time that is overload, as a share of the shortest objective. */
  private static final double OVERLOAD_OBJECTIVES = 0.6;

  /** Failures count as load only while the mean exceeds the quickest period's by this factor. */
  private static final double SLOWER_RATIO = 1.4;

  /** Growth of the quickest period's mean each period. */
  private static final double QUICKEST_GROWTH = 1.02;

  /** Periods with reports before the quickest mean is recorded. */
  private static final int MIN_PERIODS = 2;

  /** Load under this share of the overload thresholds lets the admitted share grow. */
  private static final double RECOVERED_SHARE = 0.7;

  /** Utilization that is overload, and utilization to return to. */
  private static final double OVERLOAD_UTILIZATION = 0.85;

  private static final double TARGET_UTILIZATION = 0.7;

  /** Least share of the admitted requests that one cut leaves. */
  private static final double MIN_CUT_REMAINDER = 0.6;

  /** A cut shows after so many report cycles and latency objectives. */
  private static final double CUT_VISIBLE_CYCLES = 1.5;

  /** No further cut while the needed cut falls to this share from one period to the next. */
  private static final double IMPROVING_SHARE = 0.8;

  /** Growth of the admitted share in a period without overload. */
  private static final double GROWTH = 1.15;

  /** The same near the share at which the last overload began, and how near that is. */
  private static final double GROWTH_NEAR_OVERLOAD = 1.04;

  private static final double NEAR_OVERLOAD_SHARE = 0.85;

  private static final double MIN_ADMITTED_SHARE = 0.15;

  /** A restored share from here on counts as no overload. */
  private static final double RESTORED_FULL_SHARE = 0.85;

  private final PolicySettings settings;
  private final PolicyCommands commands;
  private final ControlClock clock;
  private final ReportCycle cycle;
  private final ChannelBudget channel;
  private final ResponseTimeEstimator estimator;
  private final UtilizationMonitor utilization;

  private boolean overloaded;
  private double admittedShare = 1;

  /** Admitted share when the last overload began. */
  private double shareAtOverload = 1;

  private long lastCutUs;
  private double lastNeededCut;

  /** Mean time of the quickest period, in latency objectives. */
  private double quickestObjectives = 1;

  /** What a period shows of the load. */
  private record Assessment(
      boolean overloaded,
      boolean recovered,
      boolean improving,
      double neededCut,
      double growth,
      double cutVisibleUs) {}

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

  /** Share of all requests to admit, from {@link #MIN_ADMITTED_SHARE} to 1. */
  double admittedShare() {
    return admittedShare;
  }

  /** Continues an overload that an earlier process had detected. */
  void restoreOverload() {
    overloaded = true;
  }

  /** Continues with the share that proxies admit according to the reports after a restart. */
  void restoreAdmittedShare(double share) {
    admittedShare = Math.max(MIN_ADMITTED_SHARE, Math.min(1, share));
    overloaded = admittedShare < RESTORED_FULL_SHARE;
    if (!overloaded) {
      admittedShare = 1;
    }
  }

  /** Evaluates a control period with reports. */
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
    AttemptStats recent = estimator.recent();
    double failureShare = recent.failed / Math.max(1, recent.succeeded + recent.failed);
    double objectives =
        recent.totalTimeUs / Math.max(1, recent.succeeded) / settings.shortestLatencyObjectiveUs();
    if (clock.periodsWithReports() >= MIN_PERIODS && recent.succeeded >= 1) {
      quickestObjectives = Math.min(quickestObjectives * QUICKEST_GROWTH, objectives);
    }
    boolean slower = objectives > SLOWER_RATIO * quickestObjectives || recent.succeeded < 1;
    boolean failing = failureShare > OVERLOAD_FAILURE_SHARE && slower;
    boolean late = objectives > OVERLOAD_OBJECTIVES;
    boolean notFailing = failureShare < RECOVERED_SHARE * OVERLOAD_FAILURE_SHARE || !slower;
    boolean recovered = notFailing && objectives < RECOVERED_SHARE * OVERLOAD_OBJECTIVES;
    double neededCut = Math.max(slower ? failureShare : 0, objectives - OVERLOAD_OBJECTIVES);
    boolean improving = neededCut < IMPROVING_SHARE * lastNeededCut;
    boolean nearOverload = admittedShare >= NEAR_OVERLOAD_SHARE * shareAtOverload;
    double growth = nearOverload ? GROWTH_NEAR_OVERLOAD : GROWTH;
    return new Assessment(
        failing || late, recovered, improving, neededCut, growth, cycle.durationUs());
  }

  /** Utilization shows the present load; reports show that of the last report cycle. */
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
        Math.min(GROWTH, Math.cbrt(TARGET_UTILIZATION / meanUtilization)),
        settings.controlPeriodUs() + channel.drainTimeUs() / CUT_VISIBLE_CYCLES);
  }

  private void adjustAdmittedShare(long nowUs, Assessment assessment) {
    double visibleUs =
        CUT_VISIBLE_CYCLES * (assessment.cutVisibleUs() + settings.shortestLatencyObjectiveUs())
            + settings.channel().maxPushDelayUs();
    boolean lastCutVisible = nowUs - lastCutUs >= visibleUs;
    if (assessment.overloaded() && lastCutVisible && !assessment.improving()) {
      lastCutUs = nowUs;
      shareAtOverload = admittedShare;
    }
    // The worst that is reported before a cut can show is the state when the cut was made.
    if (assessment.overloaded() && (!lastCutVisible || lastCutUs == nowUs)) {
      double remainder = Math.max(MIN_CUT_REMAINDER, 1 - assessment.neededCut());
      admittedShare =
          Math.min(admittedShare, Math.max(MIN_ADMITTED_SHARE, shareAtOverload * remainder));
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
