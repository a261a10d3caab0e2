package pearusher.recovery;

import java.util.Map;
import pearusher.policy.AdmissionLevel;

/**
 * What a proxy that joins lacks of its table. It holds everything else as it was last ordered.
 *
 * @param table the table that the proxy follows
 * @param weights by server, 0: take the server out
 * @param admissionLevels by request class
 * @param ejections servers that the proxy must be notified of: ejected (true) or reinstated
 * @param announced servers that the proxy was notified of before, or may have been: ejected (true)
 *     or not
 */
public record CatchUp(
    int table,
    Map<String, Double> weights,
    Map<Integer, AdmissionLevel> admissionLevels,
    Map<String, Boolean> ejections,
    Map<String, Boolean> announced) {

  /** How many entries the update holds that carries it. */
  public int cost() {
    return weights.size() + admissionLevels.size() + ejections.size();
  }
}
