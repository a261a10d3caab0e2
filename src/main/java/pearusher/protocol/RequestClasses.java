package pearusher.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The request classes, with conversions between both representations of a set of classes. Commands
 * of the policy use a bit set by class index, in which 0 means all classes. Messages use a list of
 * names. Immutable.
 */
public final class RequestClasses {
  private final List<String> names;

  /**
   * Creates the classes.
   *
   * @param names the names of the classes in the order of the settings
   */
  public RequestClasses(List<String> names) {
    this.names = names;
  }

  /** Returns the number of classes. */
  public int count() {
    return names.size();
  }

  /**
   * Returns the bit set of the classes of a command, with each bit set if the command is for all.
   *
   * @param classBits the bit set in the command; 0 means all classes
   */
  public int bits(int classBits) {
    int all = (1 << names.size()) - 1;
    return classBits == 0 ? all : classBits & all;
  }

  /**
   * Returns whether a command is for all classes.
   *
   * @param classBits the bit set in the command; 0 means all classes
   */
  public boolean coversAll(int classBits) {
    return bits(classBits) == bits(0);
  }

  /**
   * Returns the names of the classes in a set; empty if the set contains all classes.
   *
   * @param classBits the bit set, in which 0 means no class
   */
  public Optional<List<String>> names(int classBits) {
    if (classBits == bits(0)) {
      return Optional.empty();
    }
    List<String> selected = new ArrayList<>();
    for (int k = 0; k < names.size(); k++) {
      if ((classBits >> k & 1) != 0) {
        selected.add(names.get(k));
      }
    }
    return Optional.of(selected);
  }
}
