package pearusher.server;

import java.util.Optional;
import pearusher.control.PersistenceOptions;
import pearusher.intake.Intake;

/**
 * Features that operators can enable; empty if disabled.
 *
 * @param persistence options of the store that preserves commands across restarts
 * @param intakeBounds limits of the intake that protects the policy from report overload
 */
public record OptionalFeatures(
    Optional<PersistenceOptions> persistence, Optional<Intake.Bounds> intakeBounds) {
  /** No optional feature is enabled. */
  public static final OptionalFeatures NONE =
      new OptionalFeatures(Optional.empty(), Optional.empty());
}
