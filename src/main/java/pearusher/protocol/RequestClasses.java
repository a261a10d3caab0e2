package pearusher.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * The classes of requests, and how a set of them is written: in orders as a bit for each by its
 * place, 0 for all of them; in messages as a list of names, null for all of them. It never changes.
 */
public final class RequestClasses {
  private final List<String> names;

  public RequestClasses(List<String> names) {
    this.names = names;
  }

  public int count() {
    return names.size();
  }

  /** The bits that an order means. */
  public int bits(int classBits) {
    int every = (1 << names.size()) - 1;
    return classBits == 0 ? every : classBits & every;
  }

  /** Whether an order means all classes. */
  public boolean coversAll(int classBits) {
    return bits(classBits) == bits(0);
  }

  /** The names of a set of classes; null for all of them. */
  public List<String> names(int which) {
    if (which == bits(0)) {
      return null;
    }
    List<String> out = new ArrayList<>();
    for (int k = 0; k < names.size(); k++) {
      if ((which >> k & 1) != 0) {
        out.add(names.get(k));
      }
    }
    return out;
  }
}
