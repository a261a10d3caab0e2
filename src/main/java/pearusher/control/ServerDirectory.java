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
 * Maps the names of listed servers to numbers, and stores the last listed address of each server. A
 * number is never reused for another server. Only the event-loop thread uses it. Its size grows
 * with the number of servers that were listed and not discarded.
 */
final class ServerDirectory {
  /** Matches a server number, in hexadecimal, in a log message of the policy. */
  private static final Pattern SERVER_NUMBER = Pattern.compile("\\bserver ([0-9a-f]+)\\b");

  private static final int HEXADECIMAL = 16;

  private static final class Entry {
    private final long number;

    /** The number as an Optional, allocated once because each load report looks it up. */
    private final OptionalLong optionalNumber;

    private final String name;
    private String hostPort;

    Entry(long number, String name) {
      this.number = number;
      optionalNumber = OptionalLong.of(number);
      this.name = name;
    }
  }

  private final Map<String, Entry> byName = new HashMap<>();
  private final Map<Long, Entry> byNumber = new HashMap<>();
  private long nextNumber;

  /**
   * Adds a server, or updates the address of a known server.
   *
   * @param hostPort the address, or null if none is listed
   * @return the server's number
   */
  long add(String name, String hostPort) {
    Entry entry = byName.get(name);
    if (entry == null) {
      entry = new Entry(nextNumber++, name);
      byName.put(name, entry);
      byNumber.put(entry.number, entry);
    }
    // Keeps the stored string of an unchanged address, so that the new string can be collected.
    if (hostPort == null || !hostPort.equals(entry.hostPort)) {
      entry.hostPort = hostPort;
    }
    return entry.number;
  }

  boolean contains(String name) {
    return byName.containsKey(name);
  }

  /** Returns the number of a server; empty if it was never listed or was discarded. */
  OptionalLong number(String name) {
    Entry entry = byName.get(name);
    return entry == null ? OptionalLong.empty() : entry.optionalNumber;
  }

  /** Converts a map by server name to a map by server number; omits unknown servers. */
  <V> Map<Long, V> byNumber(Map<String, V> valuesByName) {
    Map<Long, V> valuesByNumber = new TreeMap<>();
    valuesByName.forEach(
        (name, value) -> number(name).ifPresent(number -> valuesByNumber.put(number, value)));
    return valuesByNumber;
  }

  /** Returns the name of a server; empty if no server has this number or it was discarded. */
  Optional<String> findName(long number) {
    return Optional.ofNullable(name(number));
  }

  /**
   * Returns the name of a server, or null if it was discarded. Returns no Optional because it is
   * called for each weight entry that is sent.
   */
  String name(long number) {
    Entry entry = byNumber.get(number);
    return entry == null ? null : entry.name;
  }

  /** Returns the last listed address of a server, or null if there is none. */
  String hostPort(long number) {
    Entry entry = byNumber.get(number);
    return entry == null ? null : entry.hostPort;
  }

  /** Discards a server. */
  void discard(long number) {
    Entry entry = byNumber.remove(number);
    if (entry != null) {
      byName.remove(entry.name);
    }
  }

  /** Replaces the numbers of known servers in a log message of the policy by their names. */
  String replaceNumbersByNames(String text) {
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
