package pearusher.policy;

/** What an admission level means. */
public enum AdmissionMode {
  /** The share of requests that a proxy admits, from 0 to 1. */
  SHARE,
  /** The rate at which each proxy admits requests, per second. */
  RATE,
  /** Proxies have no admission control. */
  NONE
}
