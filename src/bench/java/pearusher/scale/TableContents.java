package pearusher.scale;

import java.util.BitSet;

/**
 * The servers in the tables of one simulated proxy, as one bit per server and request class. Owned
 * by the event loop of the proxies. Grows with the servers times the classes.
 */
final class TableContents {
  private final BitSet[] serversByClass;

  TableContents(int classes) {
    serversByClass = new BitSet[classes];
    for (int k = 0; k < classes; k++) {
      serversByClass[k] = new BitSet();
    }
  }

  /** Removes all servers from the tables of these classes. */
  void clear(int classBits) {
    for (int k = 0; k < serversByClass.length; k++) {
      if (hasClass(classBits, k)) {
        serversByClass[k].clear();
      }
    }
  }

  /** Adds a server to the tables of these classes, or removes it. */
  void set(int server, boolean isPresent, int classBits) {
    for (int k = 0; k < serversByClass.length; k++) {
      if (hasClass(classBits, k)) {
        serversByClass[k].set(server, isPresent);
      }
    }
  }

  /** Returns whether the table of any class contains the server. */
  boolean contains(int server) {
    for (BitSet servers : serversByClass) {
      if (servers.get(server)) {
        return true;
      }
    }
    return false;
  }

  private static boolean hasClass(int classBits, int requestClass) {
    return (classBits & 1 << requestClass) != 0;
  }
}
