package pearusher.transport;

import org.tinylog.Logger;
import pearusher.logging.RepeatedEvent;

/**
 * Log of rejected connections and dropped messages. Limits the number of lines, since rejections
 * may occur by the hundreds. Thread-safe.
 */
final class RejectionLog {
  private final RepeatedEvent connections = new RepeatedEvent();
  private final RepeatedEvent messages = new RepeatedEvent();

  /**
   * Logs that an unidentified connection was closed, because of its messages or because no file
   * descriptor was left.
   */
  void connectionRejected(String cause) {
    connections.record(
        count ->
            Logger.warn(
                "unidentified connections rejected: {} so far, the last: {}", count, cause));
  }

  /** Logs that a message of an identified connection was dropped. */
  void messageDropped(String sender, String cause) {
    messages.record(
        count ->
            Logger.warn("messages dropped: {} so far, the last from {}: {}", count, sender, cause));
  }
}
