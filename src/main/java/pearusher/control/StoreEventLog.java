package pearusher.control;

import java.io.IOException;
import java.util.function.Consumer;
import org.tinylog.Logger;
import pearusher.recovery.Ledger;
import pearusher.store.GroupCommitter;
import pearusher.store.Store;

/** Logs the events of the store. Any thread may call it. It is stateless. */
final class StoreEventLog implements GroupCommitter.Events {
  private final Consumer<String> onFailure;

  /**
   * @param onFailure called with the cause when the store can no longer be written
   */
  StoreEventLog(Consumer<String> onFailure) {
    this.onFailure = onFailure;
  }

  /** Logs the state in which a start found the store, and how far it trusts the stored state. */
  static void logRecovery(Store.Recovered recovered, Ledger ledger) {
    if (!recovered.damage().isEmpty()) {
      Logger.warn(
          "store damaged: sequence={} lost=\"{}\"", recovered.sequence(), recovered.damage());
    }
    if (recovered.truncatedBytes() > 0) {
      Logger.info(
          "store log truncated, unconfirmed end dropped: sequence={} bytes={} records={}",
          recovered.sequence(),
          recovered.truncatedBytes(),
          recovered.truncatedRecords());
    }
    Logger.info(
        "store opened: sequence={} epoch={} iteration={} keys={} closed={} trust=\"{}\"",
        recovered.sequence(),
        ledger.epoch(),
        ledger.iteration(),
        recovered.state().size(),
        recovered.wasClosed() ? "yes" : "no",
        ledger.trust().description());
  }

  @Override
  public void onFailed(IOException cause) {
    onFailure.accept(cause.getMessage());
  }

  @Override
  public void onMarkAbandonedFailed(IOException cause) {
    Logger.error(
        "store could not be marked as given up, use an empty directory for the next start:"
            + " cause=\"{}\"",
        cause.getMessage());
  }

  @Override
  public void onCompacted(long tookMs, long logBytes) {
    Logger.info("store compacted: took_ms={} log_bytes={}", tookMs, logBytes);
  }

  @Override
  public void onCompactionFailed(IOException cause) {
    Logger.warn("store compaction failed: cause=\"{}\"", cause.getMessage());
  }
}
