package pearusher.policy;

/** Watch on the endpoint list, which is renewed with backoff after a failure. */
final class EndpointListWatch {
  /** Lower bound of the first backoff before jitter, in control periods. */
  private static final double MIN_FIRST_BACKOFF_CONTROL_PERIODS = 0.5;

  /** First backoff before jitter, in longest allowed poll intervals of the list. */
  private static final double FIRST_BACKOFF_MAX_POLL_INTERVALS = 0.05;

  /** Upper bound of the backoff before jitter, in first backoffs. */
  private static final double MAX_BACKOFF_MULTIPLE = 4;

  private static final int MAX_DOUBLINGS = 9;

  /**
   * Lower bound of the jitter factor. The seed and the number of failures determine the factor,
   * which ranges from this bound up to 0.5 more.
   */
  private static final double MIN_JITTER_FACTOR = 0.75;

  private static final int JITTER_STEPS = 1000;
  private static final double JITTER_DIVISOR = 2000.0;

  private final PolicySettings settings;
  private final PolicyCommands commands;
  private boolean watching;
  private boolean failedBefore;
  private int failures;

  EndpointListWatch(PolicySettings settings, PolicyCommands commands) {
    this.settings = settings;
    this.commands = commands;
  }

  void start() {
    watching = !settings.endpointListOnRequest();
    if (!watching) {
      commands.watchEndpoints(true);
    }
  }

  void onFailure() {
    if (watching || !failedBefore) {
      commands.log("endpoint list watch lost");
    }
    watching = false;
    failedBefore = true;
    failures++;
    commands.setTimer((long) backoffUs(), PolicyTimer.ENDPOINT_LIST_WATCH.token);
  }

  private double backoffUs() {
    double firstUs =
        Math.max(
            settings.controlPeriodUs() * MIN_FIRST_BACKOFF_CONTROL_PERIODS,
            FIRST_BACKOFF_MAX_POLL_INTERVALS * settings.limits().maxPollIntervalUs());
    double jitter =
        MIN_JITTER_FACTOR
            + Math.floorMod(settings.seed() * failures, JITTER_STEPS) / JITTER_DIVISOR;
    int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
    return firstUs * jitter * Math.min(MAX_BACKOFF_MULTIPLE, 1 << doublings);
  }

  void onUpdate(ListUpdateKind kind) {
    if (kind == ListUpdateKind.CACHED || watching) {
      return;
    }
    watching = true;
    failures = 0;
    if (failedBefore) {
      commands.log("endpoint list watch restored");
    }
  }

  void onTimer() {
    if (!watching) {
      commands.watchEndpoints(true);
    }
  }
}
