package pearusher.transport;

import org.tinylog.Logger;
import pearusher.logging.RepeatedEvent;

/** Logs rejected connections and messages, which may come by hundreds. Thread-safe. */
final class RejectionLog {
  private final RepeatedEvent connections = new RepeatedEvent();
  private final RepeatedEvent messages = new RepeatedEvent();

  /** Logs that an unidentified connection was closed, for what it sent or for its descriptor. */
  void connectionRejected(String cause) {
    connections.record(
        count ->
            Logger.warn(
                "unidentified connections rejected: {} so far, the last: {}", count, cause));
  }

  /** Logs that a message on an identified connection was dropped. */
  void messageDropped(String sender, String cause) {
    messages.record(
        count ->
            Logger.warn("messages dropped: {} so far, the last from {}: {}", count, sender, cause));
  }
}
