package pearusher.store;

import java.util.List;
import java.util.Map;

/**
 * What a directory holds: the last consistent state, and where it comes from.
 *
 * @param state all values by key
 * @param storeId {@link StoreDirectory#NO_STORE} where there are no files of a store
 * @param sequence the last one that the state holds
 * @param confirmed a sequence that was synced at least
 * @param damage what was confirmed and can't be read, empty for nothing
 * @param truncation what was ignored at the end, none of it confirmed
 * @param isClosed whether the last log ends in order
 * @param checkpoints the newest one first
 * @param logs in the order in which they were written
 * @param damagedFiles names of files that can't be used at all
 * @param batches how many batches were read from logs
 */
record StoreContents(
    Map<String, byte[]> state,
    long storeId,
    long sequence,
    long confirmed,
    String damage,
    Truncation truncation,
    boolean isClosed,
    List<StoreFile> checkpoints,
    List<StoreFile> logs,
    List<String> damagedFiles,
    long batches) {

  /**
   * The unconfirmed end of a log, as any power failure may leave it.
   *
   * @param records complete records among the bytes
   */
  record Truncation(long bytes, long records) {}

  boolean isDamaged() {
    return !damage.isEmpty();
  }

  boolean hasStore() {
    return storeId != StoreDirectory.NO_STORE;
  }

  long logBytes() {
    return logs.stream().mapToLong(StoreFile::bytes).sum();
  }
}
