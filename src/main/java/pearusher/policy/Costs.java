package pearusher.policy;

/**
 * Points deducted per action.
 *
 * @param crossZone a request to a server of another zone
 * @param healthCheck a health check
 * @param commandLine a line on the update channel
 * @param lateFailure a request that fails late
 * @param wastedWork wasted work
 * @param connection a connection
 * @param handshake a handshake
 * @param peerMessage a message to another instance
 * @param discoveryCall a call to discovery
 * @param handover a handover of a slice
 * @param migration a move
 */
public record Costs(
    double crossZone,
    double healthCheck,
    double commandLine,
    double lateFailure,
    double wastedWork,
    double connection,
    double handshake,
    double peerMessage,
    double discoveryCall,
    double handover,
    double migration) {}
