package pearusher.policy;

/** A level and the way of trying again that was ordered with it. */
public record AdmissionLevel(double probabilityOrRate, int retry) {}
