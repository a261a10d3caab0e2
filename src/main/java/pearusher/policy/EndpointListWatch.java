package pearusher.policy;

/** Keeps the watch on the endpoint list: starts it, and renews it with backoff when it failed. */
final class EndpointListWatch {
  /** Least backoff, as a share of the control period. */
  private static final double MIN_BACKOFF_PERIODS = 0.5;

  /** First backoff, as a share of the longest interval that the list may go unpolled. */
  private static final double FIRST_BACKOFF_POLL_INTERVALS = 0.05;

  private static final double MAX_BACKOFF_MULTIPLE = 4;
  private static final int MAX_DOUBLINGS = 9;

  /** The backoff is multiplied by a figure from here to {@code + 0.5}, by seed and failure. */
  private static final double MIN_JITTER = 0.75;

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
            settings.controlPeriodUs() * MIN_BACKOFF_PERIODS,
            FIRST_BACKOFF_POLL_INTERVALS * settings.limits().maxPollIntervalUs());
    double jitter =
        MIN_JITTER + Math.floorMod(settings.seed() * failures, JITTER_STEPS) / JITTER_DIVISOR;
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
