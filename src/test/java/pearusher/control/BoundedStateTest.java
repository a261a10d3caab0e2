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
 * Servers and proxies are replaced by the thousand, with the controller and the real policy: what
 * is stored must not grow. Sizes are counted, not timed.
 */
class BoundedStateTest {
  private static final int SERVERS = 6;
  private static final int PROXIES = 8;
  private static final List<String> KNOWN_SERVERS = List.of("s-5be2a07c", "s-0badcafe");

  @TempDir Path dir;

  private List<String> addServers(ChurnSite site, int count) {
    List<String> names = new ArrayList<>();
    for (int position = 0; position < count; position++) {
      names.add("s-first-" + position);
      site.change(site.endpoint(names.get(position), position, Lifecycle.READY));
    }
    return names;
  }

  private static List<String> withKnownServers(String server) {
    List<String> names = new ArrayList<>(KNOWN_SERVERS);
    names.add(server);
    return names;
  }

  private static void runPeriods(ChurnSite site, int count, List<String> servers)
      throws InterruptedException {
    for (int period = 0; period < count; period++) {
      site.runPeriod(servers);
    }
  }

  /** Every server is replaced again and again under a new name, streams break and reconnect. */
  @Test
  void storedStateStaysBoundedWhileServersProxiesAndTimersAreReplaced() throws Exception {
    ChurnSite site = new ChurnSite(new ExampleConfig().read(dir));
    List<String> names = addServers(site, SERVERS);
    Map<Integer, AppliedUpdates> appliedByProxy = new HashMap<>();
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      appliedByProxy.put(proxy, site.newProxy());
      site.join(proxy, appliedByProxy.get(proxy), true);
    }
    Controller.RetainedSizes early = null;
    for (int round = 0; round < 1200; round++) {
      replaceServer(site, names, round);
      int proxy = round % PROXIES;
      site.join(proxy, appliedByProxy.get(proxy), false);
      site.runPeriod(names);
      early = round == 200 ? site.retainedSizes() : early;
    }
    appliedByProxy.values().forEach(applied -> assertHoldsOnly(applied, names));
    assertNoLargerThan(early, site.retainedSizes());
    removeEverything(site, names);
    Controller.RetainedSizes last = site.retainedSizes();
    assertEquals(KNOWN_SERVERS.size(), last.serverNames(), "those of the known list stay");
    assertEquals(KNOWN_SERVERS.size(), last.serverNumbers(), "those of the known list stay");
    assertEquals(0, last.streams());
    assertTrue(last.timers() <= 3 && last.publishedEntries() <= 2, "" + last);
  }

  /** Replaces one server by one with a new name, and removes one that was never listed. */
  private static void replaceServer(ChurnSite site, List<String> names, int round)
      throws InterruptedException {
    int position = round % SERVERS;
    String old = names.get(position);
    String replacement = "s-" + round;
    site.change(
        site.endpoint(old, position, Lifecycle.DRAINING),
        site.endpoint(replacement, position, Lifecycle.READY));
    site.runPeriod(names);
    site.change(
        site.endpoint(old, position, Lifecycle.REMOVED),
        site.endpoint("s-never-" + round, position, Lifecycle.REMOVED));
    names.set(position, replacement);
  }

  private static void assertHoldsOnly(AppliedUpdates applied, List<String> servers) {
    List<String> expected = new ArrayList<>(servers);
    expected.addAll(KNOWN_SERVERS);
    Map<String, Float> weights = applied.usableWeights("lookup");
    assertEquals(List.of(), applied.faults);
    assertTrue(!weights.isEmpty() && expected.containsAll(weights.keySet()), "" + weights);
    // Guards against weights that grow without end as servers are replaced, until none can be
    // decoded.
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

  private static void removeEverything(ChurnSite site, List<String> names)
      throws InterruptedException {
    for (String name : names) {
      site.change(site.endpoint(name, 0, Lifecycle.REMOVED));
    }
    site.closeStreams();
    runPeriods(site, 120, List.of());
  }

  @Test
  void aServerListedAgainAfterItWasForgottenIsReinstated() throws Exception {
    ChurnSite site = new ChurnSite(new ExampleConfig().read(dir));
    AppliedUpdates applied = site.newProxy();
    site.join(3, applied, true);
    site.change(site.endpoint("s-again", 1, Lifecycle.READY));
    runPeriods(site, 30, withKnownServers("s-again"));
    assertTrue(applied.usableWeights("order").containsKey("s-again"), applied.describe());
    site.change(site.endpoint("s-again", 1, Lifecycle.REMOVED));
    runPeriods(site, 120, KNOWN_SERVERS);
    assertTrue(applied.ejectedServers.contains("s-again"), applied.describe());
    assertEquals(KNOWN_SERVERS.size(), site.retainedSizes().serverNames(), "it is forgotten");
    site.change(site.endpoint("s-again", 1, Lifecycle.READY));
    runPeriods(site, 30, withKnownServers("s-again"));
    assertTrue(applied.usableWeights("order").containsKey("s-again"), applied.describe());
  }

  /**
   * Many proxies, servers that are replaced in batches, streams that break, proxies that restart
   * without state: everything on the wire counts, also reinstatements that the policy did not
   * command. Guards the update budget against servers new to a stream, which are sent with a
   * reinstatement.
   */
  @Test
  void theBacklogOfUpdatesStaysWithinTheLimitWhileServersAndProxiesAreReplaced() throws Exception {
    int proxies = 150;
    int servers = 30;
    ChurnSite site =
        new ChurnSite(
            new ExampleConfig()
                .with("\"proxyCount\": 8", "\"proxyCount\": " + proxies)
                .with("\"reportsPerS\": 150.0", "\"reportsPerS\": 2000.0")
                .read(dir));
    List<String> names = addServers(site, servers);
    List<AppliedUpdates> appliedByProxy = new ArrayList<>();
    for (int proxy = 0; proxy < proxies; proxy++) {
      appliedByProxy.add(site.newProxy());
      site.join(proxy, appliedByProxy.get(proxy), true);
    }
    Random random = new Random(7);
    for (int round = 0; round < 90; round++) {
      if (round % 6 == 3) {
        replaceBatch(site, names, round);
      }
      for (int count = 0; count < 25 && round % 4 == 0; count++) {
        int proxy = random.nextInt(proxies);
        boolean isFresh = round % 8 == 0;
        if (isFresh) {
          appliedByProxy.set(proxy, site.newProxy());
        }
        site.join(proxy, appliedByProxy.get(proxy), isFresh);
      }
      site.runPeriod(names);
    }
    double limit = site.maxBacklogLines();
    assertTrue(site.largestBacklog() > 0.3 * limit, "not loaded: " + site.largestBacklog());
    assertTrue(site.largestBacklog() <= limit, site.largestBacklog() + " lines waited of " + limit);
  }

  private static void replaceBatch(ChurnSite site, List<String> names, int round) {
    int first = round % names.size();
    for (int number = first; number < first + 6; number++) {
      int position = number % names.size();
      site.change(site.endpoint(names.get(position), number, Lifecycle.DRAINING));
      names.set(position, "s-" + round + "-" + number);
      site.change(site.endpoint(names.get(position), number, Lifecycle.READY));
    }
  }
}
