package pearusher.policy;

/** Method by which a proxy picks a server from its table. */
public enum PickMethod {
  /** Random choice with probabilities proportional to the weights. */
  RANDOM,
  /** Weighted round robin. */
  ROUND_ROBIN,
  /** The server with the lower load of two chosen at random. */
  POWER_OF_TWO_CHOICES
}
