package pearusher.recovery;

import java.util.Map;
import pearusher.policy.AdmissionLevel;

/**
 * The missing entries of a rejoining proxy's table. The proxy already has all other entries as they
 * were last issued.
 *
 * @param table number of the table that the proxy follows
 * @param weights missing weights by server; 0 removes the server
 * @param admissionLevels missing admission levels by request class
 * @param ejections missing ejection states by server: ejected (true) or reinstated (false)
 * @param notifiedEjections ejection states by server of which the proxy was, or may have been,
 *     notified before: ejected (true) or not (false)
 */
public record CatchUp(
    int table,
    Map<String, Double> weights,
    Map<Integer, AdmissionLevel> admissionLevels,
    Map<String, Boolean> ejections,
    Map<String, Boolean> notifiedEjections) {

  /** Returns the number of entries in the update that transmits the missing entries. */
  public int entryCount() {
    return weights.size() + admissionLevels.size() + ejections.size();
  }
}
