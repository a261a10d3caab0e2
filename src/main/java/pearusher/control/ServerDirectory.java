package pearusher.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Maps the names of listed servers to numbers, which are never reused for another server, and keeps
 * the address last listed. It belongs to the event-loop thread and grows with the servers that were
 * listed and not forgotten.
 */
final class ServerDirectory {
  /** A server number in a log text of the policy, in hexadecimal. */
  private static final Pattern SERVER_NUMBER = Pattern.compile("\\bserver ([0-9a-f]+)\\b");

  private static final int HEXADECIMAL = 16;

  private static final class Entry {
    private final long number;

    /** The same number, made once because it is looked up with each load report. */
    private final OptionalLong present;

    private final String name;
    private String hostPort;

    Entry(long number, String name) {
      this.number = number;
      present = OptionalLong.of(number);
      this.name = name;
    }
  }

  private final Map<String, Entry> byName = new HashMap<>();
  private final Map<Long, Entry> byNumber = new HashMap<>();
  private long nextNumber;

  /**
   * Adds a server, or updates the address of one that is known.
   *
   * @return the server's number
   */
  long add(String name, String hostPort) {
    Entry entry = byName.get(name);
    if (entry == null) {
      entry = new Entry(nextNumber++, name);
      byName.put(name, entry);
      byNumber.put(entry.number, entry);
    }
    // An unchanged address keeps its string, so that the one just read can be collected.
    if (hostPort == null || !hostPort.equals(entry.hostPort)) {
      entry.hostPort = hostPort;
    }
    return entry.number;
  }

  boolean contains(String name) {
    return byName.containsKey(name);
  }

  /** Returns the number of a server; empty if it was never listed or is forgotten. */
  OptionalLong number(String name) {
    Entry entry = byName.get(name);
    return entry == null ? OptionalLong.empty() : entry.present;
  }

  /** Returns a map by name as a map by number, without the servers that are not known. */
  <V> Map<Long, V> byNumber(Map<String, V> valuesByName) {
    Map<Long, V> valuesByNumber = new TreeMap<>();
    valuesByName.forEach(
        (name, value) -> number(name).ifPresent(number -> valuesByNumber.put(number, value)));
    return valuesByNumber;
  }

  /** Returns the name of a server; empty if there is none with this number or it is forgotten. */
  Optional<String> findName(long number) {
    return Optional.ofNullable(name(number));
  }

  /**
   * Returns the name of a server that the policy refers to, or null if it is forgotten: looked up
   * with each weight entry that is sent, hence no Optional.
   */
  String name(long number) {
    Entry entry = byNumber.get(number);
    return entry == null ? null : entry.name;
  }

  /** Returns the address last listed, or null if there is none. */
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

  /** Returns a log text of the policy with the numbers of known servers replaced by their names. */
  String replaceNumbers(String text) {
    return SERVER_NUMBER
        .matcher(text)
        .replaceAll(match -> Matcher.quoteReplacement("server " + nameOrNumber(match)));
  }

  private String nameOrNumber(MatchResult match) {
    String number = match.group(1);
    return findName(Long.parseLong(number, HEXADECIMAL)).orElse(number);
  }

  int nameCount() {
    return byName.size();
  }

  int numberCount() {
    return byNumber.size();
  }
}
