package pearusher.scale;

import java.util.BitSet;

/**
 * The servers in the tables of one simulated proxy, a bit for each server and request class. Owned
 * by the event loop of the proxies; grows with the servers times the classes.
 */
final class ServerHoldings {
  private final BitSet[] serversByClass;

  ServerHoldings(int classes) {
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

  /** Adds a server to the tables of these classes, or removes it from them. */
  void set(int server, boolean isHeld, int classBits) {
    for (int k = 0; k < serversByClass.length; k++) {
      if (hasClass(classBits, k)) {
        serversByClass[k].set(server, isHeld);
      }
    }
  }

  /** Whether the table of any class holds the server. */
  boolean holds(int server) {
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
