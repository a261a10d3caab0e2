package pearusher.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The request classes, and both forms of a set of them: the policy's commands have a bit for each
 * class by its index, with 0 for all classes; messages have a list of names. Immutable.
 */
public final class RequestClasses {
  private final List<String> names;

  /**
   * Creates the classes.
   *
   * @param names their names in the order of the settings
   */
  public RequestClasses(List<String> names) {
    this.names = names;
  }

  /** Returns the number of classes. */
  public int count() {
    return names.size();
  }

  /**
   * Returns a set of classes with the bit of each class set.
   *
   * @param classBits the classes of a command; 0 for all
   */
  public int bits(int classBits) {
    int all = (1 << names.size()) - 1;
    return classBits == 0 ? all : classBits & all;
  }

  /**
   * Returns whether a command is for all classes.
   *
   * @param classBits the classes of a command; 0 for all
   */
  public boolean coversAll(int classBits) {
    return bits(classBits) == bits(0);
  }

  /**
   * Returns the names of a set of classes, or empty if it has all of them.
   *
   * @param classBits the set, with the bit of each of its classes set
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
