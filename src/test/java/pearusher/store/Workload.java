package pearusher.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

/** Random batches drawn from a seed, and the correct state of the store after each batch. */
final class Workload {
  /** The state after each batch, by its sequence. */
  private final List<Map<String, String>> states = new ArrayList<>(List.of(new TreeMap<>()));

  private final Random random;

  /** The last sequence that the store reported as durable. */
  long confirmed;

  private int valueCount;

  Workload(long seed) {
    random = new Random(seed);
  }

  static Map<String, String> asText(Map<String, byte[]> state) {
    Map<String, String> text = new TreeMap<>();
    state.forEach((key, value) -> text.put(key, asText(value)));
    return text;
  }

  private static String asText(byte[] value) {
    return new String(value, StandardCharsets.UTF_8);
  }

  private WriteBatch randomBatch() {
    WriteBatch batch = new WriteBatch();
    for (int k = random.nextInt(3); k >= 0; k--) {
      String key = "key/" + random.nextInt(12);
      if (random.nextInt(4) == 0) {
        batch.delete(key);
      } else {
        batch.put(key, randomValue());
      }
    }
    return batch;
  }

  private byte[] randomValue() {
    String value = "value " + valueCount + "x".repeat(random.nextInt(30));
    valueCount++;
    return value.getBytes(StandardCharsets.UTF_8);
  }

  /** Appends a random batch, and records the resulting state. */
  void append(Store store) throws IOException {
    WriteBatch batch = randomBatch();
    Map<String, String> state = new TreeMap<>(states.get(states.size() - 1));
    batch
        .changes()
        .forEach(
            (key, value) ->
                value.ifPresentOrElse(
                    bytes -> state.put(key, asText(bytes)), () -> state.remove(key)));
    states.add(state);
    long sequence = store.append(batch);
    if (sequence != states.size() - 1) {
      throw new AssertionError("batch " + (states.size() - 1) + " got sequence " + sequence);
    }
  }

  void sync(Store store) throws IOException {
    confirmed = store.sync();
  }

  /** Appends batches, with syncs and compactions between them. */
  void run(Store store, int batches, boolean isCompacting) throws IOException {
    for (int k = 0; k < batches; k++) {
      append(store);
      if (random.nextInt(3) > 0) {
        sync(store);
      }
      if (isCompacting && k % 9 == 8) {
        Store.SealedLogs sealed = store.seal();
        confirmed = states.size() - 1L;
        // Appends continue between the two steps of the compaction.
        append(store);
        store.write();
        store.compact(sealed);
      }
    }
  }

  /** Returns the fault of a recovered state. If it is correct, the workload continues from it. */
  Optional<String> checkAndContinueFrom(Store.Recovered recovered) {
    Optional<String> fault = findFault(recovered);
    if (fault.isEmpty()) {
      states.subList((int) recovered.sequence() + 1, states.size()).clear();
      confirmed = recovered.sequence();
    }
    return fault;
  }

  /** Returns the fault of a recovered state; empty if the state is correct. */
  Optional<String> findFault(Store.Recovered recovered) {
    int sequence = (int) recovered.sequence();
    if (sequence >= states.size()) {
      return Optional.of(
          "found sequence " + sequence + ", but the last appended one is " + lastSequence());
    }
    if (!states.get(sequence).equals(asText(recovered.state()))) {
      return Optional.of(
          "unexpected state at sequence "
              + sequence
              + ": found "
              + asText(recovered.state())
              + ", expected "
              + states.get(sequence));
    }
    if (sequence < confirmed) {
      return Optional.of("confirmed up to sequence " + confirmed + ", found up to " + sequence);
    }
    return Optional.empty();
  }

  int lastSequence() {
    return states.size() - 1;
  }
}
