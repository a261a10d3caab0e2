package pearusher.recovery;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.OptionalInt;
import java.util.Set;

/**
 * What the current event-loop iteration has done so far: changed keys, commands, recipients of its
 * messages. Owned by the ledger's thread; cleared with each iteration. It grows with the changes of
 * an iteration.
 */
final class LedgerIteration {
  /** In the order of the first change. */
  private final Set<LedgerKey> changedKeys = new LinkedHashSet<>();

  private final Set<Integer> recipients = new HashSet<>();
  private OptionalInt requestedAck = OptionalInt.empty();
  private boolean hasCommands;
  private boolean isHeartbeatDue;

  void addChange(LedgerKey key) {
    changedKeys.add(key);
  }

  /** A command changed a value. */
  void addCommand(LedgerKey key) {
    changedKeys.add(key);
    hasCommands = true;
  }

  /** A command was issued that changes no value but those of the header. */
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

  /** The proxies that this iteration sends messages to. */
  Set<Integer> recipients() {
    return recipients;
  }

  /** The acknowledgement that this iteration's messages request. */
  OptionalInt requestedAck() {
    return requestedAck;
  }

  boolean hasCommands() {
    return hasCommands;
  }

  /** Whether something is to be stored. */
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
