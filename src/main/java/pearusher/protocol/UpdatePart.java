package pearusher.protocol;

import java.util.List;
import java.util.Map;
import pearusher.policy.AdmissionLevel;

/** A part of an update; null or empty where a field is left out. Classes null: all of them. */
public record UpdatePart(
    List<String> classes,
    boolean whole,
    Map<String, Double> lines,
    AdmissionLevel level,
    List<String> out,
    List<String> back,
    int ticket) {}
