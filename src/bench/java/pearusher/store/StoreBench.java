package pearusher.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;

/**
 * The store beside a plain file and beside the engines that were weighed, on one workload: a turn
 * that moves 24 lines of 120. Prints {@code name value unit} a line.
 */
public final class StoreBench {
  private static final int LINES = 24;
  private static final int SERVERS = 120;

  private interface Engine extends AutoCloseable {
    void append(WriteBatch batch) throws IOException;

    void sync() throws IOException;

    /** To the operating system; a kill loses it no more. */
    void write() throws IOException;

    @Override
    void close() throws IOException;
  }

  private interface Maker {
    Engine open(Path dir) throws IOException;
  }

  private final Path root;
  private final boolean quick;

  private StoreBench(Path root, boolean quick) {
    this.root = root;
    this.quick = quick;
  }

  public static void main(String[] args) throws Exception {
    Path root = Files.createTempDirectory(Path.of("target"), "bench");
    try {
      StoreBench bench = new StoreBench(root, args.length > 0);
      bench.appends();
      bench.recovery();
      bench.compaction();
      bench.proof();
    } finally {
      delete(root);
    }
  }

  private static void delete(Path root) throws IOException {
    try (Stream<Path> all = Files.walk(root)) {
      for (Path one : all.sorted((a, b) -> b.compareTo(a)).toList()) {
        Files.delete(one);
      }
    }
  }

  private static void say(String name, double value, String unit) {
    System.out.printf("%s %.3f %s%n", name, value, unit);
  }

  static WriteBatch turn(int number) {
    WriteBatch out = new WriteBatch();
    for (int k = 0; k < LINES; k++) {
      byte[] value = ByteBuffer.allocate(16).putDouble(number * 0.001 + k).putLong(number).array();
      out.put(
          "t/"
              + number % 2
              + "/l/s-"
              + Integer.toHexString(0x5be2a000 + (number * 7 + k * 5) % SERVERS),
          value);
    }
    return out.put("m", ByteBuffer.allocate(48).putLong(number).array());
  }

  private static Engine plain(Path dir) throws IOException {
    FileChannel file =
        FileChannel.open(
            dir.resolve("plain"), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    ByteBuffer group = ByteBuffer.allocate(1 << 22);
    return new Engine() {
      @Override
      public void append(WriteBatch batch) {
        group.put(batch.encode());
      }

      @Override
      public void write() throws IOException {
        file.write(group.flip());
        group.clear();
      }

      @Override
      public void sync() throws IOException {
        write();
        file.force(false);
      }

      @Override
      public void close() throws IOException {
        file.close();
      }
    };
  }

  private static Engine own(Path dir) throws IOException {
    Store store = Store.open(new FileDisk(dir), StoreOptions.DEFAULT);
    return new Engine() {
      @Override
      public void append(WriteBatch batch) throws IOException {
        store.append(batch);
      }

      @Override
      public void write() throws IOException {
        store.write();
      }

      @Override
      public void sync() throws IOException {
        store.sync();
      }

      @Override
      public void close() throws IOException {
        store.close();
      }
    };
  }

  private static MVStore mvStore(Path file) {
    return new MVStore.Builder().fileName(file.toString()).autoCommitDisabled().open();
  }

  /** The library as the whole engine. */
  private static Engine library(Path dir) {
    MVStore store = mvStore(dir.resolve("mv"));
    MVMap<String, byte[]> map = store.openMap("all");
    return new Engine() {
      @Override
      public void append(WriteBatch batch) {
        batch.changes().forEach((key, value) -> map.put(key, value.orElseThrow()));
      }

      @Override
      public void write() {
        store.commit();
      }

      @Override
      public void sync() {
        store.commit();
        store.sync();
      }

      @Override
      public void close() {
        store.close();
      }
    };
  }

  /**
   * A log of our own, the library as its index, committed as often as a checkpoint would be
   * written.
   */
  private static Engine indexed(Path dir) throws IOException {
    Engine log = own(dir);
    MVStore store = mvStore(dir.resolve("mv"));
    MVMap<String, byte[]> map = store.openMap("all");
    return new Engine() {
      private int appends;

      @Override
      public void append(WriteBatch batch) throws IOException {
        log.append(batch);
        batch.changes().forEach((key, value) -> map.put(key, value.orElseThrow()));
        if (++appends % 1000 == 0) {
          store.commit();
        }
      }

      @Override
      public void write() throws IOException {
        log.write();
      }

      @Override
      public void sync() throws IOException {
        log.sync();
      }

      @Override
      public void close() throws IOException {
        log.close();
        store.close();
      }
    };
  }

  /** Appends a second for so long: group 1 and syncs, groups and syncs, or none. */
  private double rate(Maker maker, int group, boolean sync, long ms) throws IOException {
    Path dir = Files.createTempDirectory(root, "engine");
    long count = 0;
    long start = System.nanoTime();
    try (Engine engine = maker.open(dir)) {
      while (System.nanoTime() - start < ms * 1_000_000) {
        for (int k = 0; k < group; k++) {
          engine.append(turn((int) count++));
        }
        if (sync) {
          engine.sync();
        } else {
          engine.write();
        }
      }
    }
    double out = count * 1e9 / (System.nanoTime() - start);
    delete(dir);
    return out;
  }

  private void appends() throws IOException {
    Map<String, Maker> engines =
        new TreeMap<>(
            Map.of(
                "own",
                StoreBench::own,
                "library",
                StoreBench::library,
                "indexed",
                StoreBench::indexed));
    long ms = quick ? 150 : 1200;
    int rounds = quick ? 2 : 5;
    for (String policy : new String[] {"each", "interval", "none"}) {
      int group = policy.equals("interval") ? 20 : 1;
      boolean sync = !policy.equals("none");
      rate(StoreBench::plain, group, sync, ms);
      // Each beside a plain run of its own, by turns: the device is not the same from second to
      // second.
      for (Map.Entry<String, Maker> one : engines.entrySet()) {
        double[] shares = new double[rounds];
        double[] rates = new double[rounds];
        for (int k = 0; k < rounds; k++) {
          double base = rate(StoreBench::plain, group, sync, ms);
          rates[k] = rate(one.getValue(), group, sync, ms);
          shares[k] = rates[k] / base;
        }
        Arrays.sort(shares);
        Arrays.sort(rates);
        say("append_" + policy + "_" + one.getKey() + "_share", shares[rounds / 2], "of_plain");
        say("append_" + policy + "_" + one.getKey(), rates[rounds / 2], "batches/s");
      }
    }
  }

  private void recovery() throws IOException {
    for (int records :
        quick ? new int[] {10_000, 100_000} : new int[] {10_000, 100_000, 1_000_000}) {
      Path dir = Files.createTempDirectory(root, "recovery");
      long bytes;
      try (Store store = Store.open(new FileDisk(dir), StoreOptions.DEFAULT)) {
        for (int k = 0; k < records; k++) {
          // A tenth of the keys are new: the state grows with the log, as it does at worst.
          store.append(
              new WriteBatch()
                  .put(
                      "key/" + k % Math.max(1, records / 10),
                      ByteBuffer.allocate(24).putLong(k).array()));
          if (k % 5000 == 4999) {
            store.sync();
          }
        }
        store.sync();
        bytes = store.logBytes();
      }
      long best = Long.MAX_VALUE;
      long memory = 0;
      for (int k = 0; k < 3; k++) {
        System.gc();
        long before = used();
        long start = System.nanoTime();
        try (Store store = Store.open(new FileDisk(dir), StoreOptions.DEFAULT)) {
          Store.Recovered found = store.takeRecovered();
          best = Math.min(best, System.nanoTime() - start);
          System.gc();
          memory = used() - before;
          if (found.sequence() != records) {
            throw new IllegalStateException("lost " + (records - found.sequence()));
          }
        }
      }
      say("recovery_" + records + "_ms", best / 1e6, "ms");
      say("recovery_" + records + "_log", bytes / 1e6, "MB");
      say("recovery_" + records + "_rate", bytes / 1e6 / (best / 1e9), "MB/s");
      say("recovery_" + records + "_held", memory / 1e6, "MB");
      delete(dir);
    }
  }

  private static long used() {
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /**
   * One append and its sync every millisecond, at rest and while compactions run one after the
   * other.
   */
  private void compaction() throws Exception {
    Path dir = Files.createTempDirectory(root, "compaction");
    Histogram rest = new Histogram(60_000_000_000L, 3);
    Histogram busy = new Histogram(60_000_000_000L, 3);
    int appends = quick ? 1500 : 8000;
    try (Store store = Store.open(new FileDisk(dir), StoreOptions.DEFAULT)) {
      for (int k = 0; k < 100_000; k++) {
        store.append(new WriteBatch().put("key/" + k, new byte[24]));
      }
      store.sync();
      timed(store, appends / 4, new Histogram(60_000_000_000L, 3));
      timed(store, appends, rest);
      int compactions = 0;
      while (busy.getTotalCount() < appends) {
        Store.Sealed sealed = store.seal();
        Thread folding =
            new Thread(
                () -> {
                  try {
                    store.compact(sealed);
                  } catch (IOException e) {
                    throw new IllegalStateException(e);
                  }
                });
        folding.start();
        while (folding.isAlive() && busy.getTotalCount() < appends) {
          timed(store, 20, busy);
        }
        folding.join();
        compactions++;
      }
      say("compaction_runs", compactions, "count");
    }
    say("append_rest_p50", rest.getValueAtPercentile(50) / 1e3, "us");
    say("append_rest_p99", rest.getValueAtPercentile(99) / 1e3, "us");
    say("append_compacting_p50", busy.getValueAtPercentile(50) / 1e3, "us");
    say("append_compacting_p99", busy.getValueAtPercentile(99) / 1e3, "us");
    say(
        "append_compacting_p99_ratio",
        1.0 * busy.getValueAtPercentile(99) / rest.getValueAtPercentile(99),
        "of_rest");
    delete(dir);
  }

  private static void timed(Store store, int count, Histogram into) throws IOException {
    for (int k = 0; k < count; k++) {
      long start = System.nanoTime();
      store.append(turn(k));
      store.sync();
      into.recordValue(System.nanoTime() - start);
      while (System.nanoTime() - start < 1_000_000) {
        Thread.onSpinWait();
      }
    }
  }

  /**
   * What becomes of one flipped byte, and of a file cut short, in the library's file and in ours.
   */
  private void proof() throws IOException {
    Path dir = Files.createTempDirectory(root, "proof");
    int turns = 60;
    Path file = dir.resolve("mv");
    Map<String, byte[]> last = new TreeMap<>();
    try (Engine engine = library(dir)) {
      for (int k = 0; k < turns; k++) {
        WriteBatch batch = turn(k);
        batch.applyTo(last);
        engine.append(batch);
        engine.sync();
      }
    }
    byte[] good = Files.readAllBytes(file);
    int[] flips = new int[4];
    int[] cuts = new int[4];
    int step = quick ? 97 : 31;
    for (int at = 0; at < good.length; at += step) {
      byte[] flipped = good.clone();
      flipped[at] ^= 0x10;
      Files.write(file, flipped);
      flips[outcome(file, last)]++;
      Files.write(file, Arrays.copyOf(good, at));
      cuts[outcome(file, last)]++;
    }
    String[] names = {"same", "refused", "earlier_silently", "wrong_silently"};
    for (int k = 0; k < 4; k++) {
      say("library_flip_" + names[k], flips[k], "of_" + Arrays.stream(flips).sum());
    }
    for (int k = 0; k < 4; k++) {
      say("library_cut_" + names[k], cuts[k], "of_" + Arrays.stream(cuts).sum());
    }
    delete(dir);
  }

  private static int outcome(Path file, Map<String, byte[]> last) {
    Map<String, byte[]> found = new HashMap<>();
    try {
      MVStore store = new MVStore.Builder().fileName(file.toString()).readOnly().open();
      try {
        MVMap<String, byte[]> map = store.openMap("all");
        map.entrySet().forEach(e -> found.put(e.getKey(), e.getValue()));
      } finally {
        store.closeImmediately();
      }
    } catch (RuntimeException | Error e) {
      return 1;
    }
    boolean same =
        found.keySet().equals(last.keySet())
            && found.entrySet().stream()
                .allMatch(e -> Arrays.equals(e.getValue(), last.get(e.getKey())));
    if (same) {
      return 0;
    }
    // Some state that one of the turns left is an earlier one; anything else never was.
    Map<String, byte[]> state = new HashMap<>();
    for (int k = -1; k < 60; k++) {
      if (k >= 0) {
        turn(k).applyTo(state);
      }
      if (state.keySet().equals(found.keySet())
          && state.entrySet().stream()
              .allMatch(e -> Arrays.equals(e.getValue(), found.get(e.getKey())))) {
        return 2;
      }
    }
    return 3;
  }
}
