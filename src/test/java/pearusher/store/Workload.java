package pearusher.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Batches drawn from a seed, and what a correct store may hold after each: the checker of the
 * store, which knows nothing of its files.
 */
final class Workload {
  /** What was handed to the store by sequence: what stands at place s holds after batch s. */
  private final List<Map<String, String>> states = new ArrayList<>(List.of(new TreeMap<>()));

  private final Random random;

  /** The last sequence that the store called durable. */
  long confirmed;

  private int made;

  Workload(long seed) {
    random = new Random(seed);
  }

  static Map<String, String> text(Map<String, byte[]> state) {
    Map<String, String> out = new TreeMap<>();
    state.forEach((k, v) -> out.put(k, new String(v, StandardCharsets.UTF_8)));
    return out;
  }

  private WriteBatch batch() {
    WriteBatch out = new WriteBatch();
    for (int k = random.nextInt(3); k >= 0; k--) {
      String key = "key/" + random.nextInt(12);
      if (random.nextInt(4) == 0) {
        out.delete(key);
      } else {
        out.put(
            key,
            ("value " + made++ + "x".repeat(random.nextInt(30))).getBytes(StandardCharsets.UTF_8));
      }
    }
    return out;
  }

  /** Appends a batch and remembers what it makes. */
  void append(Store store) throws IOException {
    WriteBatch batch = batch();
    Map<String, String> state = new TreeMap<>(states.get(states.size() - 1));
    batch
        .changes()
        .forEach(
            (key, value) ->
                value.ifPresentOrElse(
                    bytes -> state.put(key, new String(bytes, StandardCharsets.UTF_8)),
                    () -> state.remove(key)));
    states.add(state);
    long sequence = store.append(batch);
    if (sequence != states.size() - 1) {
      throw new AssertionError("batch " + (states.size() - 1) + " got sequence " + sequence);
    }
  }

  void sync(Store store) throws IOException {
    confirmed = store.sync();
  }

  /** Appends, groups, syncs and compactions by turns, to the end or to the power cut. */
  void run(Store store, int batches, boolean compacting) throws IOException {
    for (int k = 0; k < batches; k++) {
      append(store);
      if (random.nextInt(3) > 0) {
        sync(store);
      }
      if (compacting && k % 9 == 8) {
        Store.Sealed sealed = store.seal();
        confirmed = states.size() - 1L;
        // Appends go on while the rest of the compaction runs.
        append(store);
        store.write();
        store.compact(sealed);
      }
    }
  }

  /**
   * What is wrong with what a start found, or null; where nothing is, the workload goes on from
   * there.
   */
  String check(Store.Recovered found) {
    String wrong = wrong(found);
    if (wrong == null) {
      states.subList((int) found.sequence() + 1, states.size()).clear();
      confirmed = found.sequence();
    }
    return wrong;
  }

  String wrong(Store.Recovered found) {
    int at = (int) found.sequence();
    if (at >= states.size()) {
      return "sequence " + at + " was never appended, the last is " + (states.size() - 1);
    }
    if (!states.get(at).equals(text(found.state()))) {
      return "at " + at + " it holds " + text(found.state()) + ", not " + states.get(at);
    }
    if (at < confirmed) {
      return "confirmed up to " + confirmed + ", found " + at;
    }
    return null;
  }

  int last() {
    return states.size() - 1;
  }
}
