package pearusher.operatorsettings;

import java.util.List;
import java.util.stream.Collectors;

/** Settings that can't be used, with all faults that were found in the order of the files. */
public final class InvalidSettingsException extends Exception {
  private static final long serialVersionUID = 1L;
  private final transient List<SettingsFault> faults;

  InvalidSettingsException(List<SettingsFault> faults) {
    super(faults.stream().map(SettingsFault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  public List<SettingsFault> faults() {
    return faults;
  }
}
