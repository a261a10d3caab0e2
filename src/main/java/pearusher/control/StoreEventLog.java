package pearusher.control;

import java.io.IOException;
import java.util.function.Consumer;
import org.tinylog.Logger;
import pearusher.recovery.Ledger;
import pearusher.store.GroupCommitter;
import pearusher.store.Store;

/** Logs what happens to the store. Any thread may call it; it holds no state of its own. */
final class StoreEventLog implements GroupCommitter.Events {
  private final Consumer<String> onFailure;

  /**
   * @param onFailure called with the cause once the store cannot be written any more
   */
  StoreEventLog(Consumer<String> onFailure) {
    this.onFailure = onFailure;
  }

  /** Logs what a start found in the store, and how far it trusts that. */
  static void logRecovery(Store.Recovered found, Ledger ledger) {
    if (!found.damage().isEmpty()) {
      Logger.warn("store damaged: sequence={} lost=\"{}\"", found.sequence(), found.damage());
    }
    if (found.truncatedBytes() > 0) {
      Logger.info(
          "store end cut: sequence={} bytes={} records={}",
          found.sequence(),
          found.truncatedBytes(),
          found.truncatedRecords());
    }
    Logger.info(
        "store open: sequence={} epoch={} iteration={} keys={} closed={} trust=\"{}\"",
        found.sequence(),
        ledger.epoch(),
        ledger.iteration(),
        found.state().size(),
        found.wasClosed() ? "yes" : "no",
        ledger.trust().description());
  }

  @Override
  public void onFailed(IOException cause) {
    onFailure.accept(cause.getMessage());
  }

  @Override
  public void onMarkAbandonedFailed(IOException cause) {
    Logger.error(
        "store not marked as given up, begin the next start with an empty directory: cause=\"{}\"",
        cause.getMessage());
  }

  @Override
  public void onCompacted(long tookMs, long logBytes) {
    Logger.info("store compacted: took_ms={} log_bytes={}", tookMs, logBytes);
  }

  @Override
  public void onCompactionFailed(IOException cause) {
    Logger.warn("store not compacted: cause=\"{}\"", cause.getMessage());
  }
}
