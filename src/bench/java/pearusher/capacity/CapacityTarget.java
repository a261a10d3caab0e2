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

  /** The longest time until a change is in force. */
  static final double MAX_CHANGE_DELAY_SECONDS = 16;

  /** The share of a core that an assigner may use. */
  static final double MAX_CORE_SHARE = 0.018;

  /** The memory for the state of an assigner. */
  static final double MAX_STATE_BYTES = 32 * 1024 * 1024;

  /** The network traffic of an assigner in both directions. */
  static final double MAX_BYTES_PER_SECOND = 26 * 1024;

  static final int SECONDS_PER_DAY = 86_400;

  private CapacityTarget() {}
}
