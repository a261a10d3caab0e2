package pearusher.server;

import pearusher.control.Keeping;
import pearusher.intake.Intake;

/**
 * What the operators switched on; null for what is off.
 *
 * @param keeping a memory on disk
 * @param intake bounds of the reports that wait
 */
public record Extras(Keeping keeping, Intake.Bounds intake) {
  /** Everything off. */
  public static final Extras NONE = new Extras(null, null);
}
