package pearusher.store;

import java.util.List;
import java.util.Map;

/**
 * The last consistent state of a directory, and the files that it was read from.
 *
 * @param state all values by key
 * @param storeId {@link StoreDirectory#NO_STORE_ID} if there are no files of a store
 * @param sequence sequence of the last batch that is included in the state
 * @param confirmed the highest sequence that is known to have been synced
 * @param damage description of the confirmed records that can't be read; empty if there are none
 * @param truncation the unconfirmed end of the log, which was ignored
 * @param isClosed whether the last log ends with the record of a clean close
 * @param checkpoints newest first
 * @param logs in the order in which they were written
 * @param damagedFiles names of files that are unusable as a whole
 * @param batches number of batches that were applied from logs
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
   * The unconfirmed end of a log, which any power failure may leave.
   *
   * @param bytes its length in bytes
   * @param records number of complete records in these bytes
   */
  record Truncation(long bytes, long records) {}

  boolean isDamaged() {
    return !damage.isEmpty();
  }

  boolean hasStore() {
    return storeId != StoreDirectory.NO_STORE_ID;
  }

  long logBytes() {
    return logs.stream().mapToLong(StoreFile::bytes).sum();
  }
}
