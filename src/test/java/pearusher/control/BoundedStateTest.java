package pearusher.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearusher.policy.Lifecycle;
import pearusher.server.AppliedUpdates;
import pearusher.server.ExampleConfig;

/**
 * Thousands of servers and proxies are replaced, with the controller and the real policy. Guards
 * against stored state that grows with every replacement. The test counts entries and measures no
 * times.
 */
class BoundedStateTest {
  private static final int SERVERS = 6;
  private static final int PROXIES = 8;
  private static final List<String> KNOWN_SERVERS = List.of("s-5be2a07c", "s-0badcafe");

  @TempDir Path dir;

  private List<String> addServers(ChurnFixture fixture, int count) {
    List<String> names = new ArrayList<>();
    for (int position = 0; position < count; position++) {
      names.add("s-first-" + position);
      fixture.deliverChange(fixture.endpoint(names.get(position), position, Lifecycle.READY));
    }
    return names;
  }

  private static List<String> withKnownServers(String server) {
    List<String> names = new ArrayList<>(KNOWN_SERVERS);
    names.add(server);
    return names;
  }

  private static void runPeriods(ChurnFixture fixture, int count, List<String> servers)
      throws InterruptedException {
    for (int period = 0; period < count; period++) {
      fixture.runPeriod(servers);
    }
  }

  /** Every server is repeatedly replaced under a new name; streams disconnect and reconnect. */
  @Test
  void storedStateStaysBoundedWhileServersProxiesAndTimersAreReplaced() throws Exception {
    ChurnFixture fixture = new ChurnFixture(new ExampleConfig().read(dir));
    List<String> names = addServers(fixture, SERVERS);
    Map<Integer, AppliedUpdates> appliedByProxy = new HashMap<>();
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      appliedByProxy.put(proxy, fixture.newProxy());
      fixture.join(proxy, appliedByProxy.get(proxy), true);
    }
    Controller.RetainedSizes early = null;
    for (int round = 0; round < 1200; round++) {
      replaceServer(fixture, names, round);
      int proxy = round % PROXIES;
      fixture.join(proxy, appliedByProxy.get(proxy), false);
      fixture.runPeriod(names);
      early = round == 200 ? fixture.retainedSizes() : early;
    }
    appliedByProxy.values().forEach(applied -> assertUsesOnly(applied, names));
    assertNoLargerThan(early, fixture.retainedSizes());
    removeAllServersAndProxies(fixture, names);
    Controller.RetainedSizes last = fixture.retainedSizes();
    assertEquals(KNOWN_SERVERS.size(), last.serverNames(), "only servers of the known list remain");
    assertEquals(
        KNOWN_SERVERS.size(), last.serverNumbers(), "only servers of the known list remain");
    assertEquals(0, last.streams());
    assertTrue(last.timers() <= 3 && last.publishedEntries() <= 2, "" + last);
  }

  /** Replaces a server by one with a new name, and removes a server that was never listed. */
  private static void replaceServer(ChurnFixture fixture, List<String> names, int round)
      throws InterruptedException {
    int position = round % SERVERS;
    String old = names.get(position);
    String replacement = "s-" + round;
    fixture.deliverChange(
        fixture.endpoint(old, position, Lifecycle.DRAINING),
        fixture.endpoint(replacement, position, Lifecycle.READY));
    fixture.runPeriod(names);
    fixture.deliverChange(
        fixture.endpoint(old, position, Lifecycle.REMOVED),
        fixture.endpoint("s-never-" + round, position, Lifecycle.REMOVED));
    names.set(position, replacement);
  }

  private static void assertUsesOnly(AppliedUpdates applied, List<String> servers) {
    List<String> expected = new ArrayList<>(servers);
    expected.addAll(KNOWN_SERVERS);
    Map<String, Float> weights = applied.usableWeights("lookup");
    assertEquals(List.of(), applied.faults);
    assertTrue(!weights.isEmpty() && expected.containsAll(weights.keySet()), "" + weights);
    // Guards against weights that grow without bound as servers are replaced, until they can no
    // longer be decoded.
    assertTrue(weights.values().stream().allMatch(weight -> weight < 1000), "" + weights);
  }

  private static void assertNoLargerThan(
      Controller.RetainedSizes early, Controller.RetainedSizes late) {
    String message = early + " became " + late;
    assertTrue(late.serverNames() <= early.serverNames() + SERVERS, message);
    assertTrue(late.serverNumbers() <= early.serverNumbers() + SERVERS, message);
    assertTrue(late.streams() <= early.streams() + SERVERS, message);
    assertTrue(late.timers() <= early.timers() + SERVERS, message);
    assertTrue(late.publishedEntries() <= early.publishedEntries() + SERVERS, message);
  }

  private static void removeAllServersAndProxies(ChurnFixture fixture, List<String> names)
      throws InterruptedException {
    for (String name : names) {
      fixture.deliverChange(fixture.endpoint(name, 0, Lifecycle.REMOVED));
    }
    fixture.closeStreams();
    runPeriods(fixture, 120, List.of());
  }

  @Test
  void aServerListedAgainAfterItWasDiscardedIsReinstated() throws Exception {
    ChurnFixture fixture = new ChurnFixture(new ExampleConfig().read(dir));
    AppliedUpdates applied = fixture.newProxy();
    fixture.join(3, applied, true);
    fixture.deliverChange(fixture.endpoint("s-again", 1, Lifecycle.READY));
    runPeriods(fixture, 30, withKnownServers("s-again"));
    assertTrue(applied.usableWeights("order").containsKey("s-again"), applied.describe());
    fixture.deliverChange(fixture.endpoint("s-again", 1, Lifecycle.REMOVED));
    runPeriods(fixture, 120, KNOWN_SERVERS);
    assertTrue(applied.ejectedServers.contains("s-again"), applied.describe());
    assertEquals(
        KNOWN_SERVERS.size(),
        fixture.retainedSizes().serverNames(),
        "the removed server is discarded");
    fixture.deliverChange(fixture.endpoint("s-again", 1, Lifecycle.READY));
    runPeriods(fixture, 30, withKnownServers("s-again"));
    assertTrue(applied.usableWeights("order").containsKey("s-again"), applied.describe());
  }

  /**
   * Many proxies, servers that are replaced in batches, streams that disconnect, and proxies that
   * restart without state. The backlog includes everything sent, also reinstatements that the
   * policy did not command. Guards against an exceeded update budget because of servers that are
   * new to a stream, which are sent with a reinstatement.
   */
  @Test
  void theBacklogOfUpdatesStaysWithinTheLimitWhileServersAndProxiesAreReplaced() throws Exception {
    int proxies = 150;
    int servers = 30;
    ChurnFixture fixture =
        new ChurnFixture(
            new ExampleConfig()
                .with("\"proxyCount\": 8", "\"proxyCount\": " + proxies)
                .with("\"reportsPerS\": 150.0", "\"reportsPerS\": 2000.0")
                .read(dir));
    List<String> names = addServers(fixture, servers);
    List<AppliedUpdates> appliedByProxy = new ArrayList<>();
    for (int proxy = 0; proxy < proxies; proxy++) {
      appliedByProxy.add(fixture.newProxy());
      fixture.join(proxy, appliedByProxy.get(proxy), true);
    }
    Random random = new Random(7);
    for (int round = 0; round < 90; round++) {
      if (round % 6 == 3) {
        replaceBatch(fixture, names, round);
      }
      for (int count = 0; count < 25 && round % 4 == 0; count++) {
        int proxy = random.nextInt(proxies);
        boolean isFresh = round % 8 == 0;
        if (isFresh) {
          appliedByProxy.set(proxy, fixture.newProxy());
        }
        fixture.join(proxy, appliedByProxy.get(proxy), isFresh);
      }
      fixture.runPeriod(names);
    }
    double limit = fixture.maxBacklogLines();
    assertTrue(
        fixture.largestBacklog() > 0.3 * limit, "load is too low: " + fixture.largestBacklog());
    assertTrue(
        fixture.largestBacklog() <= limit,
        fixture.largestBacklog() + " lines of backlog, limit " + limit);
  }

  private static void replaceBatch(ChurnFixture fixture, List<String> names, int round) {
    int first = round % names.size();
    for (int number = first; number < first + 6; number++) {
      int position = number % names.size();
      fixture.deliverChange(fixture.endpoint(names.get(position), number, Lifecycle.DRAINING));
      names.set(position, "s-" + round + "-" + number);
      fixture.deliverChange(fixture.endpoint(names.get(position), number, Lifecycle.READY));
    }
  }
}
