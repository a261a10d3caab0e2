package pearusher.policy;

/** How a proxy picks a server from its table. */
public enum PickMethod {
  /** At random by weight. */
  RANDOM,
  /** By weighted round robin. */
  ROUND_ROBIN,
  /** The server with the lower load of two random picks. */
  POWER_OF_TWO_CHOICES
}
