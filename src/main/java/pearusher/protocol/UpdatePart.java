package pearusher.protocol;

import java.util.List;
import java.util.Map;
import pearusher.policy.AdmissionLevel;

/** A part of an update; null or empty where a field is left out. Classes null: all of them. */
public record UpdatePart(
    List<String> classes,
    boolean replacesTable,
    Map<String, Double> weights,
    AdmissionLevel admission,
    List<String> ejected,
    List<String> reinstated,
    int ackNumber) {}
