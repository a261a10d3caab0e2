package pearusher.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Entries of endpoint lists for tests. Where a method takes no zone, it derives the zone from the
 * server's number.
 */
final class TestServers {
  private TestServers() {}

  static ServerEntry readyServer(long id, int zone, long startedUs) {
    return new ServerEntry(id, zone, 0, 0, Lifecycle.READY, 1, startedUs);
  }

  static ServerEntry serverIn(long id, int zone, Lifecycle lifecycle) {
    return new ServerEntry(id, zone, 0, 0, lifecycle, 1, 0);
  }

  /**
   * Returns entries of servers 1 to {@code count}, started long ago, with zones assigned in turn.
   */
  static List<ServerEntry> readyServers(int count, int zones) {
    List<ServerEntry> entries = new ArrayList<>();
    for (int id = 1; id <= count; id++) {
      entries.add(readyServer(id, id % zones, 0));
    }
    return entries;
  }

  /**
   * Returns entries of servers {@code first} to {@code last}, alternating between two zones, all in
   * the same lifecycle state.
   */
  static List<ServerEntry> serversIn(long first, long last, Lifecycle lifecycle) {
    List<ServerEntry> entries = new ArrayList<>();
    for (long id = first; id <= last; id++) {
      entries.add(serverIn(id, (int) (id % 2), lifecycle));
    }
    return entries;
  }

  static List<ServerEntry> drainingServers(long first, long last) {
    return serversIn(first, last, Lifecycle.DRAINING);
  }
}
