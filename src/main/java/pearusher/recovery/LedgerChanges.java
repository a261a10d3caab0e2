package pearusher.recovery;

import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The changes of one event-loop iteration, which become durable together or not at all.
 *
 * @param changes in the order in which their keys were first changed, with the header last
 */
public record LedgerChanges(List<Change> changes) {

  /**
   * The new value of a key.
   *
   * @param value the new value; empty if the key is deleted
   */
  public record Change(String key, Optional<byte[]> value) {}

  /** Calls {@code put} or {@code delete} for each change, in order. */
  public void forEach(BiConsumer<String, byte[]> put, Consumer<String> delete) {
    for (Change change : changes) {
      change
          .value()
          .ifPresentOrElse(
              value -> put.accept(change.key(), value), () -> delete.accept(change.key()));
    }
  }
}
