package pearusher.policy;

/** Points taken off for each unit. */
public record Costs(
    double crossZone,
    double probe,
    double orders,
    double lateFail,
    double waste,
    double connection,
    double handshake,
    double peer,
    double list,
    double handover,
    double moves) {}
