package pearusher.scale;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates changes of the endpoint list: servers start to drain, and each drained server is
 * replaced by a new server in its zone. Runs on the event loop of the simulated discovery service,
 * which owns the catalog. Notifies the listener before a change is published.
 */
final class ChangeFeed {
  /**
   * Not a multiple of common change intervals, so that timing jitter does not decide between a
   * drain and a replacement and all runs make the same changes.
   */
  private static final long DRAIN_DURATION_NS = 3_770_000_000L;

  /** Receives changes before they are published. */
  interface Listener {
    void onServerDraining(int server);

    void onServersInService(int[] servers);
  }

  private record Draining(int server, long sinceNs) {}

  private final SimulatedDiscovery discovery;
  private final ServerCatalog catalog;
  private final Listener listener;
  private final ChangeTimestamps timestamps;
  private final SplittableRandom random;
  private final ArrayDeque<Draining> draining = new ArrayDeque<>();
  private final List<Integer> serving;
  private boolean isRunning;
  private volatile long changeCount;

  ChangeFeed(
      SimulatedDiscovery discovery,
      ServerCatalog catalog,
      ChangeTimestamps timestamps,
      Listener listener,
      long seed) {
    this.discovery = discovery;
    this.catalog = catalog;
    this.timestamps = timestamps;
    this.listener = listener;
    random = new SplittableRandom(seed);
    serving = new ArrayList<>(catalog.inService());
  }

  /** Starts to publish changes at a fixed rate, the first after half an interval. */
  void start(double changesPerSecond) {
    if (changesPerSecond > 0) {
      long intervalNs = (long) (1e9 / changesPerSecond);
      discovery
          .loop()
          .execute(
              () -> {
                isRunning = true;
                discovery
                    .loop()
                    .schedule(
                        intervalNs / 2,
                        () -> {
                          makeChange();
                          discovery.loop().scheduleAtFixedRate(intervalNs, this::makeChange);
                        });
              });
    }
  }

  void stop() {
    discovery.loop().execute(() -> isRunning = false);
  }

  private void makeChange() {
    if (!isRunning) {
      return;
    }
    long nowNs = System.nanoTime();
    if (!draining.isEmpty() && nowNs - draining.peek().sinceNs() >= DRAIN_DURATION_NS) {
      replace(List.of(draining.poll().server()));
    } else if (serving.size() > 1) {
      int server = serving.remove(random.nextInt(serving.size()));
      draining.add(new Draining(server, nowNs));
      catalog.setLifecycle(server, ServerCatalog.Lifecycle.TERMINATING);
      listener.onServerDraining(server);
      publish(List.of(server));
    }
  }

  private void replace(List<Integer> removed) {
    List<Integer> changed = new ArrayList<>();
    for (int server : removed) {
      catalog.setLifecycle(server, ServerCatalog.Lifecycle.TERMINATED);
      int replacement = catalog.addServer(catalog.zone(server), System.currentTimeMillis());
      serving.add(replacement);
      changed.add(server);
      changed.add(replacement);
    }
    publish(changed);
  }

  /** Terminates all servers of a zone in one change and returns them, for {@link #restoreZone}. */
  List<Integer> removeZone(int zone) {
    List<Integer> removedServers =
        serving.stream().filter(server -> catalog.zone(server) == zone).toList();
    serving.removeAll(removedServers);
    for (int server : removedServers) {
      catalog.setLifecycle(server, ServerCatalog.Lifecycle.TERMINATED);
      listener.onServerDraining(server);
    }
    publish(removedServers);
    return removedServers;
  }

  void restoreZone(List<Integer> removedServers) {
    replace(removedServers);
  }

  // Only the event loop's thread writes the count.
  @SuppressWarnings("NonAtomicVolatileUpdate")
  private void publish(List<Integer> changed) {
    changeCount = changeCount + 1;
    listener.onServersInService(serving.stream().mapToInt(Integer::intValue).toArray());
    timestamps.recordPublication(catalog.generation() + 1, System.nanoTime());
    discovery.publishChange(changed);
  }

  /** Returns the number of changes published so far. */
  long changeCount() {
    return changeCount;
  }
}
