package pearusher.scale;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Changes the list: by turns a server begins to drain, and one that has drained goes while a new
 * one comes in its zone. Runs on discovery's loop, which owns the catalog, and tells those who have
 * to know before the list does.
 */
final class ChangeFeed {
  /** No multiple of usual distances between changes, so that two runs make the same changes. */
  private static final long DRAIN_NS = 3_770_000_000L;

  /** Who has to know of changes before they are told. */
  interface Listener {
    void drains(int server);

    void inService(int[] servers);
  }

  private record Draining(int server, long sinceNs) {}

  private final SimulatedDiscovery discovery;
  private final ServerCatalog catalog;
  private final Listener listener;
  private final ChangeTimestamps times;
  private final SplittableRandom random;
  private final ArrayDeque<Draining> draining = new ArrayDeque<>();
  private final List<Integer> serving;
  private boolean on;
  private volatile long made;

  ChangeFeed(
      SimulatedDiscovery discovery,
      ServerCatalog catalog,
      ChangeTimestamps times,
      Listener listener,
      long seed) {
    this.discovery = discovery;
    this.catalog = catalog;
    this.times = times;
    this.listener = listener;
    random = new SplittableRandom(seed);
    serving = new ArrayList<>(catalog.inService());
  }

  /** Makes so many changes a second from now on, the first after half of their distance. */
  void start(double perS) {
    if (perS > 0) {
      long distanceNs = (long) (1e9 / perS);
      discovery
          .loop()
          .execute(
              () -> {
                on = true;
                discovery
                    .loop()
                    .schedule(
                        distanceNs / 2,
                        () -> {
                          change();
                          discovery.loop().every(distanceNs, this::change);
                        });
              });
    }
  }

  void stop() {
    discovery.loop().execute(() -> on = false);
  }

  private void change() {
    if (!on) {
      return;
    }
    long now = System.nanoTime();
    if (!draining.isEmpty() && now - draining.peek().sinceNs() >= DRAIN_NS) {
      replace(List.of(draining.poll().server()));
    } else if (serving.size() > 1) {
      int server = serving.remove(random.nextInt(serving.size()));
      draining.add(new Draining(server, now));
      catalog.set(server, ServerCatalog.Lifecycle.TERMINATING);
      listener.drains(server);
      tell(List.of(server));
    }
  }

  private void replace(List<Integer> gone) {
    List<Integer> changed = new ArrayList<>();
    for (int server : gone) {
      catalog.set(server, ServerCatalog.Lifecycle.TERMINATED);
      int next = catalog.add(catalog.zone(server), System.currentTimeMillis());
      serving.add(next);
      changed.add(server);
      changed.add(next);
    }
    tell(changed);
  }

  /**
   * All servers of a zone go in one change; they are what {@link #returnZone} brings new ones for.
   */
  List<Integer> loseZone(int zone) {
    List<Integer> lost = serving.stream().filter(server -> catalog.zone(server) == zone).toList();
    serving.removeAll(lost);
    for (int server : lost) {
      catalog.set(server, ServerCatalog.Lifecycle.TERMINATED);
      listener.drains(server);
    }
    tell(lost);
    return lost;
  }

  void returnZone(List<Integer> lost) {
    replace(lost);
  }

  // Only one thread writes the count.
  @SuppressWarnings("NonAtomicVolatileUpdate")
  private void tell(List<Integer> changed) {
    made = made + 1;
    listener.inService(serving.stream().mapToInt(Integer::intValue).toArray());
    times.told(catalog.generation() + 1, System.nanoTime());
    discovery.changed(changed);
  }

  /** Changes told so far. */
  long made() {
    return made;
  }
}
