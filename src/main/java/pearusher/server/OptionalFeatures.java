package pearusher.server;

import java.util.Optional;
import pearusher.control.PersistenceOptions;
import pearusher.intake.Intake;

/**
 * Features that the operators may switch on; empty for one that is off.
 *
 * @param persistence options of the store that keeps commands over a restart
 * @param intakeBounds limits of the intake that protects the policy from too many reports
 */
public record OptionalFeatures(
    Optional<PersistenceOptions> persistence, Optional<Intake.Bounds> intakeBounds) {
  /** Everything off. */
  public static final OptionalFeatures NONE =
      new OptionalFeatures(Optional.empty(), Optional.empty());
}
