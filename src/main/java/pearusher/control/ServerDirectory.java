package pearusher.control;

import java.util.HashMap;
import java.util.Map;

/**
 * The servers that lists have named: for each name a number, which is never used again for another
 * server, and the address last listed. It belongs to the decision thread and keeps a server until
 * it is forgotten.
 */
final class ServerDirectory {
  private static final class Entry {
    private final Long number;
    private final String name;
    private String hostPort;

    Entry(Long number, String name) {
      this.number = number;
      this.name = name;
    }
  }

  private final Map<String, Entry> byName = new HashMap<>();
  private final Map<Long, Entry> byNumber = new HashMap<>();
  private long numbersMade;

  /** Notes a server that a list names, with the address that it gives, and tells its number. */
  long list(String name, String hostPort) {
    Entry entry = byName.get(name);
    if (entry == null) {
      entry = new Entry(numbersMade++, name);
      byName.put(name, entry);
      byNumber.put(entry.number, entry);
    }
    // An unchanged address keeps its text, so that the one just read can go with its list.
    if (hostPort == null || !hostPort.equals(entry.hostPort)) {
      entry.hostPort = hostPort;
    }
    return entry.number;
  }

  boolean knows(String name) {
    return byName.containsKey(name);
  }

  /** The number of a name, null where no list has named it or it was forgotten. */
  Long number(String name) {
    Entry entry = byName.get(name);
    return entry == null ? null : entry.number;
  }

  /** The name of a number, null where there is none or it was forgotten. */
  String name(long number) {
    Entry entry = byNumber.get(number);
    return entry == null ? null : entry.name;
  }

  /** The address last listed, null where there is none. */
  String hostPort(long number) {
    Entry entry = byNumber.get(number);
    return entry == null ? null : entry.hostPort;
  }

  void forget(long number) {
    Entry entry = byNumber.remove(number);
    if (entry != null) {
      byName.remove(entry.name);
    }
  }

  int names() {
    return byName.size();
  }

  int numbers() {
    return byNumber.size();
  }
}
