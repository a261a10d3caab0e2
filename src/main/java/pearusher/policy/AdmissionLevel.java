package pearusher.policy;

/**
 * A published admission level and the retry mode that was published with it.
 *
 * @param shareOrRate share of requests, from 0 to 1, or requests per second, as {@link
 *     AdmissionMode} defines
 * @param retryMode 0: no retries; 1: retries after proof that the attempt did not run
 */
public record AdmissionLevel(double shareOrRate, int retryMode) {}
