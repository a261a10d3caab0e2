package pearusher.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;

/** Measures the time and the memory required to open a store with a long log. */
final class RecoveryBench {
  private static final int RECORDS_PER_SYNC = 5000;
  private static final int RECORDS_PER_KEY = 10;
  private static final int VALUE_BYTES = 24;
  private static final int ROUNDS = 3;

  private final Path root;
  private final int[] recordCounts;

  RecoveryBench(Path root, boolean quick) {
    this.root = root;
    recordCounts = quick ? new int[] {10_000, 100_000} : new int[] {10_000, 100_000, 1_000_000};
  }

  void run() throws IOException {
    for (int records : recordCounts) {
      try (BenchDirectory directory = BenchDirectory.create(root, "recovery")) {
        long logBytes = fill(directory.path(), records);
        measure(directory.path(), records, logBytes);
      }
    }
  }

  /**
   * Writes a log whose number of keys grows with its records. Returns the size of the log in bytes.
   */
  private static long fill(Path directory, int records) throws IOException {
    int keys = Math.max(1, records / RECORDS_PER_KEY);
    try (Store store = Store.open(new FileDisk(directory), StoreOptions.DEFAULT)) {
      for (int k = 0; k < records; k++) {
        byte[] value = ByteBuffer.allocate(VALUE_BYTES).putLong(k).array();
        store.append(new WriteBatch().put("key/" + k % keys, value));
        if ((k + 1) % RECORDS_PER_SYNC == 0) {
          store.sync();
        }
      }
      store.sync();
      return store.logBytes();
    }
  }

  private static void measure(Path directory, int records, long logBytes) throws IOException {
    long bestNs = Long.MAX_VALUE;
    long retainedBytes = 0;
    for (int round = 0; round < ROUNDS; round++) {
      System.gc();
      long usedBefore = usedHeapBytes();
      long startNs = System.nanoTime();
      try (Store store = Store.open(new FileDisk(directory), StoreOptions.DEFAULT)) {
        Store.Recovered recovered = store.releaseRecovered();
        bestNs = Math.min(bestNs, System.nanoTime() - startNs);
        System.gc();
        retainedBytes = usedHeapBytes() - usedBefore;
        if (recovered.sequence() != records) {
          throw new IllegalStateException(
              "recovery lost " + (records - recovered.sequence()) + " of " + records + " records");
        }
      }
    }
    String prefix = "recovery_" + records;
    StoreBench.print(prefix + "_ms", bestNs / 1e6, "ms");
    StoreBench.print(prefix + "_log", logBytes / 1e6, "MB");
    StoreBench.print(prefix + "_rate", logBytes / 1e6 / (bestNs / 1e9), "MB/s");
    StoreBench.print(prefix + "_held", retainedBytes / 1e6, "MB");
  }

  private static long usedHeapBytes() {
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
