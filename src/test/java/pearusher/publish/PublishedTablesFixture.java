package pearusher.publish;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import pearusher.control.DecodedUpdate;
import pearusher.policy.AdmissionLevel;
import pearusher.server.AppliedUpdates;

/**
 * Published tables, with simulated proxies that apply their updates at the end of each iteration.
 */
final class PublishedTablesFixture {
  /** The time of every iteration, in microseconds. */
  static final long NOW_US = 1_000_000;

  private static final List<String> CLASSES = List.of("read", "write", "list");

  /** Servers with a number below this are suspected at unconfirmed proxies. */
  private static final int SUSPECTED_SERVER_COUNT = 9;

  final PublishedTables tables = new PublishedTables(CLASSES, number -> "s" + number);
  private final Map<Integer, AppliedUpdates> proxies = new TreeMap<>();
  private final Map<Integer, Integer> updateCounts = new TreeMap<>();
  private final Map<Integer, List<List<String>>> lastUpdates = new TreeMap<>();

  PublishedTablesFixture() {
    LongStream.range(0, SUSPECTED_SERVER_COUNT)
        .forEach(server -> tables.suspectEjection(server, false));
  }

  AppliedUpdates join(int proxy) {
    return join(proxy, false);
  }

  AppliedUpdates join(int proxy, boolean isConfirmed) {
    tables.addProxy(proxy);
    if (isConfirmed) {
      tables.confirmProxy(proxy);
    }
    return proxies.computeIfAbsent(proxy, p -> new AppliedUpdates(CLASSES));
  }

  void bindProxy(int proxy, int table, int classBits) {
    tables.bindProxy(proxy, table, tables.classes(classBits));
  }

  void setAdmission(int table, int classBits, double level, int retry) {
    tables.setAdmission(table, tables.classes(classBits), new AdmissionLevel(level, retry));
  }

  /** Ends the iteration; each proxy applies its update and must not receive more than one. */
  void publish() {
    lastUpdates.clear();
    Map<Integer, byte[]> sent = new TreeMap<>();
    tables.publish(
        NOW_US,
        (proxy, message) ->
            assertNull(sent.put(proxy, message), "proxy was sent two updates in one iteration"));
    for (Map.Entry<Integer, byte[]> entry : sent.entrySet()) {
      apply(entry.getKey(), entry.getValue());
    }
  }

  private void apply(int proxy, byte[] message) {
    updateCounts.merge(proxy, 1, Integer::sum);
    List<List<String>> parts = DecodedUpdate.parts(message);
    parts.forEach(proxies.get(proxy)::apply);
    lastUpdates.put(proxy, parts);
    assertEquals(List.of(), proxies.get(proxy).faults);
  }

  /** Returns the parts that a proxy was sent in the last iteration, or null if none were sent. */
  List<List<String>> lastUpdate(int proxy) {
    return lastUpdates.get(proxy);
  }

  /** Returns the number of updates by proxy; proxies that were sent none are absent. */
  Map<Integer, Integer> updateCounts() {
    return updateCounts;
  }
}
