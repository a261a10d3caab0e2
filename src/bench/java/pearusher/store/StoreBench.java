package pearusher.store;

import java.nio.file.Path;

/**
 * Compares the store with a plain file and alternative engines on the workload of {@link
 * BenchWorkload}. Prints {@code name value unit} lines; any argument selects the short run.
 */
public final class StoreBench {
  private StoreBench() {}

  public static void main(String[] args) throws Exception {
    boolean quick = args.length > 0;
    try (BenchDirectory root = BenchDirectory.create(Path.of("target"), "bench")) {
      new AppendBench(root.path(), quick).run();
      new RecoveryBench(root.path(), quick).run();
      new CompactionBench(root.path(), quick).run();
      new CorruptionBench(root.path(), quick).run();
    }
  }

  static void print(String name, double value, String unit) {
    System.out.printf("%s %.3f %s%n", name, value, unit);
  }
}
