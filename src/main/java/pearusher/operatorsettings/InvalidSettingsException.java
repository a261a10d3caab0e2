package pearusher.operatorsettings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if settings are invalid. Has all faults found, in the order of the files' lines. */
public final class InvalidSettingsException extends Exception {
  private static final long serialVersionUID = 1L;
  private final transient List<SettingsFault> faults;

  InvalidSettingsException(List<SettingsFault> faults) {
    super(faults.stream().map(SettingsFault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  /** Returns the faults found; at least one. */
  public List<SettingsFault> faults() {
    return faults;
  }
}
