package pearusher.recovery;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.OptionalInt;
import java.util.Set;

/**
 * The changed keys, commands and message recipients of the current event-loop iteration. Owned by
 * the ledger's thread and cleared after each iteration. Memory grows with the changes of an
 * iteration.
 */
final class LedgerIteration {
  /** The changed keys in the order of their first changes. */
  private final Set<LedgerKey> changedKeys = new LinkedHashSet<>();

  private final Set<Integer> recipients = new HashSet<>();
  private OptionalInt requestedAck = OptionalInt.empty();
  private boolean hasCommands;
  private boolean isHeartbeatDue;

  void addChange(LedgerKey key) {
    changedKeys.add(key);
  }

  /** Adds a command that changed the value of a key. */
  void addCommand(LedgerKey key) {
    changedKeys.add(key);
    hasCommands = true;
  }

  /** Adds a command that changes only the header. */
  void addCommand() {
    hasCommands = true;
  }

  void addAckRequest(int number) {
    requestedAck = OptionalInt.of(number);
    hasCommands = true;
  }

  void addRecipient(int proxy) {
    recipients.add(proxy);
  }

  void requestHeartbeat() {
    isHeartbeatDue = true;
  }

  Set<LedgerKey> changedKeys() {
    return changedKeys;
  }

  /** Returns the proxies to which this iteration sends messages. */
  Set<Integer> recipients() {
    return recipients;
  }

  /** Returns the number of the acknowledgement that the messages of this iteration request. */
  OptionalInt requestedAck() {
    return requestedAck;
  }

  boolean hasCommands() {
    return hasCommands;
  }

  /** Returns whether the iteration must store a record. */
  boolean isRecordDue() {
    return !changedKeys.isEmpty() || hasCommands || isHeartbeatDue;
  }

  void clear() {
    changedKeys.clear();
    recipients.clear();
    requestedAck = OptionalInt.empty();
    hasCommands = false;
    isHeartbeatDue = false;
  }
}
