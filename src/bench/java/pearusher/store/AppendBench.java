package pearusher.store;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * Compares the append rate of each engine with that of a plain file. Each run of an engine follows
 * a run of the plain file, because the speed of a device changes from second to second. Figures are
 * medians.
 */
final class AppendBench {
  /** The policy by which appended batches become durable. */
  private enum SyncPolicy {
    EACH("each", 1, true),
    INTERVAL("interval", 20, true),
    NONE("none", 1, false);

    private final String figureName;
    private final int batchesPerGroup;
    private final boolean syncs;

    SyncPolicy(String figureName, int batchesPerGroup, boolean syncs) {
      this.figureName = figureName;
      this.batchesPerGroup = batchesPerGroup;
      this.syncs = syncs;
    }
  }

  private record NamedEngine(String name, StorageEngine.Factory factory) {}

  private static final List<NamedEngine> ENGINES =
      List.of(
          new NamedEngine("indexed", IndexedLogEngine::new),
          new NamedEngine("library", MvStoreEngine::new),
          new NamedEngine("own", LogEngine::new));

  private final Path root;
  private final long runMs;
  private final int rounds;

  AppendBench(Path root, boolean quick) {
    this.root = root;
    runMs = quick ? 150 : 1200;
    rounds = quick ? 2 : 5;
  }

  void run() throws IOException {
    for (SyncPolicy policy : SyncPolicy.values()) {
      // The first run warms up the device and the JIT compiler.
      appendsPerSecond(PlainFileEngine::new, policy);
      for (NamedEngine engine : ENGINES) {
        compareWithPlainFile(engine, policy);
      }
    }
  }

  private void compareWithPlainFile(NamedEngine engine, SyncPolicy policy) throws IOException {
    double[] shares = new double[rounds];
    double[] rates = new double[rounds];
    for (int k = 0; k < rounds; k++) {
      double plainRate = appendsPerSecond(PlainFileEngine::new, policy);
      rates[k] = appendsPerSecond(engine.factory(), policy);
      shares[k] = rates[k] / plainRate;
    }
    Arrays.sort(shares);
    Arrays.sort(rates);
    String name = "append_" + policy.figureName + "_" + engine.name();
    StoreBench.print(name + "_share", shares[rounds / 2], "of_plain");
    StoreBench.print(name, rates[rounds / 2], "batches/s");
  }

  private double appendsPerSecond(StorageEngine.Factory factory, SyncPolicy policy)
      throws IOException {
    try (BenchDirectory directory = BenchDirectory.create(root, "engine")) {
      long appends = 0;
      long startNs = System.nanoTime();
      try (StorageEngine engine = factory.open(directory.path())) {
        while (System.nanoTime() - startNs < runMs * 1_000_000) {
          for (int k = 0; k < policy.batchesPerGroup; k++) {
            engine.append(BenchWorkload.batch((int) appends));
            appends++;
          }
          if (policy.syncs) {
            engine.sync();
          } else {
            engine.write();
          }
        }
      }
      return appends * 1e9 / (System.nanoTime() - startNs);
    }
  }
}
