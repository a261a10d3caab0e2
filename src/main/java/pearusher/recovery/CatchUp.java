package pearusher.recovery;

import java.util.Map;
import pearusher.policy.AdmissionLevel;

/**
 * What a proxy that joins lacks of its table: lines with their weights (0: taken out), levels by
 * class, and which servers it must be told are out (true) or back. What is not named here it holds
 * as it was ordered.
 *
 * @param table the table that it is bound to
 * @param announced of which servers it was told before that they are out (true), or back, or may
 *     believe so
 */
public record CatchUp(
    int table,
    Map<String, Double> weights,
    Map<Integer, AdmissionLevel> admissionLevels,
    Map<String, Boolean> ejections,
    Map<String, Boolean> announced) {

  /** Lines of the channel that it takes to say so. */
  public int cost() {
    return weights.size() + admissionLevels.size() + ejections.size();
  }
}
