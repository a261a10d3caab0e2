package pearusher.policy;

/** Meaning of an admission level. */
public enum AdmissionMode {
  /** Share of requests that a proxy admits, from 0 to 1. */
  SHARE,
  /** Requests per second that each proxy admits. */
  RATE,
  /** Proxies have no admission control; the level is always 1. */
  NONE
}
