package pearusher.recovery;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The contents of a ledger: tables, ejections, proxies and the endpoint list. Each entry is stored
 * under a {@link LedgerKey}. Owned by the ledger's thread. Memory grows with the tables and their
 * entries, the servers and the proxies.
 */
final class LedgerState {
  final Map<Integer, LedgerTable> tables = new TreeMap<>();

  /** The ejection states by server, of servers that are ejected or were reinstated. */
  final Map<String, EjectionEntry> ejections = new HashMap<>();

  final Map<Integer, ProxyEntry> proxies = new HashMap<>();
  final Map<String, ListedServer> servers = new HashMap<>();
  long listGeneration;

  /** Returns a table, and creates it if there is none with this number. */
  LedgerTable table(int number) {
    return tables.computeIfAbsent(number, ignored -> new LedgerTable());
  }

  void clear() {
    tables.clear();
    ejections.clear();
    proxies.clear();
    servers.clear();
    listGeneration = 0;
  }

  /**
   * Loads a stored value. The header and the values of unknown keys are ignored.
   *
   * @throws IOException if the bytes are not a value of the key's kind
   */
  void load(LedgerKey key, byte[] value) throws IOException {
    switch (key.kind()) {
      case WEIGHT ->
          table(key.table())
              .weights
              .put(key.name(), LedgerCodec.decode(value, LedgerCodec::readWeight));
      case ADMISSION_LEVEL ->
          table(key.table())
              .admissions
              .put(key.number(), LedgerCodec.decode(value, LedgerCodec::readAdmission));
      case HISTORY_START ->
          table(key.table()).historyStart = LedgerCodec.decode(value, DataInputStream::readLong);
      case UNKNOWN_TABLE_KEY -> table(key.table());
      case EJECTION ->
          ejections.put(key.name(), LedgerCodec.decode(value, LedgerCodec::readEjection));
      case PROXY -> proxies.put(key.number(), LedgerCodec.decode(value, LedgerCodec::readProxy));
      case SERVER ->
          servers.put(
              key.name(),
              LedgerCodec.decode(value, input -> LedgerCodec.readServer(key.name(), input)));
      case LIST_GENERATION -> listGeneration = LedgerCodec.decode(value, DataInputStream::readLong);
      case HEADER, UNKNOWN -> {}
    }
  }

  /** Returns the value to store under a key; empty if the key must be deleted. */
  Optional<byte[]> encodedValue(LedgerKey key) {
    return switch (key.kind()) {
      case WEIGHT, ADMISSION_LEVEL, HISTORY_START, UNKNOWN_TABLE_KEY -> encodedTableValue(key);
      case EJECTION -> encodeIfPresent(ejections.get(key.name()), LedgerCodec::encode);
      case PROXY -> encodeIfPresent(proxies.get(key.number()), LedgerCodec::encode);
      case SERVER -> encodeIfPresent(servers.get(key.name()), LedgerCodec::encode);
      case LIST_GENERATION ->
          listGeneration > 0 ? Optional.of(LedgerCodec.encode(listGeneration)) : Optional.empty();
      case HEADER, UNKNOWN -> Optional.empty();
    };
  }

  private Optional<byte[]> encodedTableValue(LedgerKey key) {
    LedgerTable table = tables.get(key.table());
    if (table == null) {
      return Optional.empty();
    }
    return switch (key.kind()) {
      case WEIGHT -> encodeIfPresent(table.weights.get(key.name()), LedgerCodec::encode);
      case ADMISSION_LEVEL ->
          encodeIfPresent(table.admissions.get(key.number()), LedgerCodec::encode);
      case HISTORY_START -> Optional.of(LedgerCodec.encode(table.historyStart));
      default -> Optional.empty();
    };
  }

  private static <T> Optional<byte[]> encodeIfPresent(T value, Function<T, byte[]> encoder) {
    return Optional.ofNullable(value).map(encoder);
  }
}
