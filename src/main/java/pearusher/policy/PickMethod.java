package pearusher.policy;

/** How a proxy picks a line: at random by weight, in turn by weight, or the less busy of two. */
public enum PickMethod {
  RANDOM,
  ROUND_ROBIN,
  LEAST_BUSY_OF_TWO
}
