package pearusher.server;

import pearusher.control.PersistenceOptions;
import pearusher.intake.Intake;

/**
 * What the operators switched on; null for what is off.
 *
 * @param persistence a memory on disk
 * @param intakeBounds bounds of the reports that wait
 */
public record OptionalFeatures(PersistenceOptions persistence, Intake.Bounds intakeBounds) {
  /** Everything off. */
  public static final OptionalFeatures NONE = new OptionalFeatures(null, null);
}
