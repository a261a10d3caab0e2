package pearusher.policy;

/** How a proxy picks a server from its table. */
public enum PickMethod {
  /** At random by weight. */
  RANDOM,
  /** By weighted round robin. */
  ROUND_ROBIN,
  /** The less busy one of two random picks. */
  LEAST_BUSY_OF_TWO
}
