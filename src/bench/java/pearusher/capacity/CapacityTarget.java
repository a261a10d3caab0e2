package pearusher.capacity;

/** The fleet size to plan for and the limits of an assigner. */
final class CapacityTarget {
  static final int ASSIGNERS = 3_100;
  static final int TASKS = 9_100;
  static final int SERVICES = 370;
  static final int REGIONS = 25;
  static final int ZONES = 98;
  static final int REQUESTS_PER_SECOND = 290_000;
  static final int CHANGES_PER_DAY = 9_500;
  static final int FAILURES_PER_DAY = 49;
  static final int RESTARTS_PER_DAY = 1_200;
  static final int CONTROL_MACHINES = 24;
  static final double IN_FORCE_SECONDS = 16;
  static final double CORE_SHARE = 0.018;
  static final double STATE_BYTES = 32 * 1024 * 1024;
  static final double BYTES_PER_SECOND = 26 * 1024;

  static final int SECONDS_PER_DAY = 86_400;

  private CapacityTarget() {}
}
