package pearusher.policy;

/**
 * An admission level with the retry mode that was published with it.
 *
 * @param probabilityOrRate a share or a rate, as {@link AdmissionMode} defines
 * @param retryMode the retry mode, as in {@link PolicyCommands#setAdmission}
 */
public record AdmissionLevel(double probabilityOrRate, int retryMode) {}
