package pearusher.recovery;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Creates the ledger of a new process from the stored values, as far as they are trusted. */
public final class LedgerRecovery {
  private LedgerRecovery() {}

  /**
   * Creates a ledger from stored values. The first iteration of the ledger deletes untrusted
   * values. The epoch, the iteration and the acknowledgement number always continue from the stored
   * ones, because they must never decrease.
   *
   * @param values the stored values by key
   */
  public static Ledger recover(Map<String, byte[]> values, RecoveryConditions conditions) {
    byte[] storedHeader = values.get(LedgerKey.HEADER.text());
    LedgerHeader header = new LedgerHeader(0, 0, 0, 0, conditions.configuredNames());
    if (storedHeader == null) {
      return new Ledger(header, RecoveryTrust.EMPTY, new LedgerState(), conditions);
    }
    LedgerState state = new LedgerState();
    RecoveryTrust trust;
    try {
      header = LedgerCodec.decode(storedHeader, LedgerCodec::readHeader);
      trust = conditions.assess(header);
      for (Map.Entry<String, byte[]> stored : values.entrySet()) {
        state.load(LedgerKey.parse(stored.getKey()), stored.getValue());
      }
    } catch (IOException | RuntimeException e) {
      trust = RecoveryTrust.UNREADABLE;
    }
    if (trust.allowsStoredTables()) {
      return new Ledger(header, trust, state, conditions);
    }
    Ledger ledger = new Ledger(header, trust, new LedgerState(), conditions);
    ledger.deleteStored(keysWithoutHeader(values));
    return ledger;
  }

  private static List<LedgerKey> keysWithoutHeader(Map<String, byte[]> values) {
    List<LedgerKey> keys = new ArrayList<>();
    for (String text : values.keySet()) {
      LedgerKey key = LedgerKey.parseOrUnknown(text);
      if (key.kind() != LedgerKey.Kind.HEADER) {
        keys.add(key);
      }
    }
    return keys;
  }
}
