package pearusher.policy;

/** Points taken off for each unit. */
public record Costs(
    double crossZone,
    double healthCheck,
    double commandLine,
    double lateFailure,
    double waste,
    double connection,
    double handshake,
    double peerMessage,
    double discoveryCall,
    double handover,
    double migration) {}
