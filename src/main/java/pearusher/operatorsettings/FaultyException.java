package pearusher.operatorsettings;

import java.util.List;
import java.util.stream.Collectors;

/** Settings that can't be used; all faults found, in the order of the files. */
public final class FaultyException extends Exception {
  private static final long serialVersionUID = 1L;
  private final transient List<Fault> faults;

  FaultyException(List<Fault> faults) {
    super(faults.stream().map(Fault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  public List<Fault> faults() {
    return faults;
  }
}
