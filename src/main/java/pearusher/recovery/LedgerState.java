package pearusher.recovery;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The values of a ledger: tables, ejections, proxies and the endpoint list, each under its stored
 * key. Owned by the ledger's thread. It grows with the tables and their entries, the servers and
 * the proxies.
 */
final class LedgerState {
  final Map<Integer, LedgerTable> tables = new TreeMap<>();

  /** Servers that are ejected, or were and are reinstated, by name. */
  final Map<String, EjectionEntry> ejections = new HashMap<>();

  final Map<Integer, ProxyEntry> proxies = new HashMap<>();
  final Map<String, ListedServer> servers = new HashMap<>();
  long listGeneration;

  /** A table, which is created empty where there is none of that number. */
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
   * Takes over a stored value; an unknown key and the header are ignored.
   *
   * @throws IOException if the bytes are no value of the key's kind
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
      case UNKNOWN_OF_TABLE -> table(key.table());
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

  /** The value to store under a key; empty where the key is to be deleted. */
  Optional<byte[]> encodedValue(LedgerKey key) {
    return switch (key.kind()) {
      case WEIGHT, ADMISSION_LEVEL, HISTORY_START, UNKNOWN_OF_TABLE -> encodedTableValue(key);
      case EJECTION -> encoded(ejections.get(key.name()), LedgerCodec::encode);
      case PROXY -> encoded(proxies.get(key.number()), LedgerCodec::encode);
      case SERVER -> encoded(servers.get(key.name()), LedgerCodec::encode);
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
      case WEIGHT -> encoded(table.weights.get(key.name()), LedgerCodec::encode);
      case ADMISSION_LEVEL -> encoded(table.admissions.get(key.number()), LedgerCodec::encode);
      case HISTORY_START -> Optional.of(LedgerCodec.encode(table.historyStart));
      default -> Optional.empty();
    };
  }

  private static <T> Optional<byte[]> encoded(T value, Function<T, byte[]> encoder) {
    return Optional.ofNullable(value).map(encoder);
  }
}
