package pearusher.policy;

/** What a level means: a share let in, requests a second at each proxy, or nothing. */
public enum AdmissionMode {
  SHARE,
  RATE,
  NONE
}
