package pearusher.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;

/**
 * Counts the outcomes of opening an MVStore file with one changed byte and a truncated MVStore
 * file.
 */
final class CorruptionBench {
  /** The outcome of opening a damaged file. */
  private enum Outcome {
    /** The last state is read. */
    SAME,
    /** The file is rejected. */
    REFUSED,
    /** The state after an earlier iteration is read, without an error. */
    EARLIER_SILENTLY,
    /** A state that never existed is read, without an error. */
    WRONG_SILENTLY
  }

  private static final int ITERATIONS = 60;
  private static final int FLIPPED_BIT_MASK = 0x10;

  private final Path root;
  private final int stepBytes;

  CorruptionBench(Path root, boolean quick) {
    this.root = root;
    stepBytes = quick ? 97 : 31;
  }

  void run() throws IOException {
    try (BenchDirectory directory = BenchDirectory.create(root, "proof")) {
      Map<String, byte[]> lastState = fill(directory.path());
      Path file = directory.path().resolve(MvStoreEngine.FILE_NAME);
      byte[] intact = Files.readAllBytes(file);
      Map<Outcome, Integer> flips = new EnumMap<>(Outcome.class);
      Map<Outcome, Integer> truncations = new EnumMap<>(Outcome.class);
      for (int position = 0; position < intact.length; position += stepBytes) {
        byte[] flipped = intact.clone();
        flipped[position] ^= FLIPPED_BIT_MASK;
        Files.write(file, flipped);
        flips.merge(open(file, lastState), 1, Integer::sum);
        Files.write(file, Arrays.copyOf(intact, position));
        truncations.merge(open(file, lastState), 1, Integer::sum);
      }
      print("library_flip_", flips);
      print("library_cut_", truncations);
    }
  }

  private static Map<String, byte[]> fill(Path directory) {
    Map<String, byte[]> state = new TreeMap<>();
    try (MvStoreEngine engine = new MvStoreEngine(directory)) {
      for (int k = 0; k < ITERATIONS; k++) {
        WriteBatch batch = BenchWorkload.batch(k);
        batch.applyTo(state);
        engine.append(batch);
        engine.sync();
      }
    }
    return state;
  }

  private static void print(String prefix, Map<Outcome, Integer> counts) {
    int total = counts.values().stream().mapToInt(Integer::intValue).sum();
    for (Outcome outcome : Outcome.values()) {
      StoreBench.print(
          prefix + outcome.name().toLowerCase(Locale.ROOT),
          counts.getOrDefault(outcome, 0),
          "of_" + total);
    }
  }

  private static Outcome open(Path file, Map<String, byte[]> lastState) {
    Map<String, byte[]> found;
    try {
      found = read(file);
    } catch (RuntimeException | Error e) {
      return Outcome.REFUSED;
    }
    if (isSame(found, lastState)) {
      return Outcome.SAME;
    }
    return isEarlierState(found) ? Outcome.EARLIER_SILENTLY : Outcome.WRONG_SILENTLY;
  }

  private static Map<String, byte[]> read(Path file) {
    Map<String, byte[]> entries = new HashMap<>();
    MVStore store = new MVStore.Builder().fileName(file.toString()).readOnly().open();
    try {
      MVMap<String, byte[]> map = store.openMap(MvStoreEngine.MAP_NAME);
      map.entrySet().forEach(entry -> entries.put(entry.getKey(), entry.getValue()));
    } finally {
      store.closeImmediately();
    }
    return entries;
  }

  /** Returns whether the entries are the empty state or the state after one of the iterations. */
  private static boolean isEarlierState(Map<String, byte[]> found) {
    Map<String, byte[]> state = new HashMap<>();
    if (isSame(found, state)) {
      return true;
    }
    for (int k = 0; k < ITERATIONS; k++) {
      BenchWorkload.batch(k).applyTo(state);
      if (isSame(found, state)) {
        return true;
      }
    }
    return false;
  }

  private static boolean isSame(Map<String, byte[]> left, Map<String, byte[]> right) {
    return left.keySet().equals(right.keySet())
        && left.entrySet().stream()
            .allMatch(entry -> Arrays.equals(entry.getValue(), right.get(entry.getKey())));
  }
}
