package pearusher.store;

import java.nio.ByteBuffer;

/**
 * Generates the batches of the benchmarks, each of which contains the weight changes of one
 * iteration of the event loop.
 */
final class BenchWorkload {
  private static final int CHANGED_WEIGHTS = 24;
  private static final int SERVERS = 120;
  private static final int FIRST_SERVER = 0x5be2a000;
  private static final int WEIGHT_BYTES = 16;
  private static final int METADATA_BYTES = 48;

  private BenchWorkload() {}

  /**
   * Returns the batch of one iteration: changed weights of one of two tables, and the metadata of
   * the ledger.
   */
  static WriteBatch batch(int iteration) {
    WriteBatch batch = new WriteBatch();
    for (int k = 0; k < CHANGED_WEIGHTS; k++) {
      int server = FIRST_SERVER + (iteration * 7 + k * 5) % SERVERS;
      byte[] value =
          ByteBuffer.allocate(WEIGHT_BYTES)
              .putDouble(iteration * 0.001 + k)
              .putLong(iteration)
              .array();
      batch.put("t/" + iteration % 2 + "/l/s-" + Integer.toHexString(server), value);
    }
    return batch.put("m", ByteBuffer.allocate(METADATA_BYTES).putLong(iteration).array());
  }
}
