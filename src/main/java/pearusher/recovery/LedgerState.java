package pearusher.recovery;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * What a ledger holds, as the store's keys name it: tables, ejections, proxies and the list. It
 * reads a value that was stored and gives the one that is to be stored. It grows with the tables
 * and their lines, the servers and the proxies.
 */
final class LedgerState {
  final Map<Integer, LedgerTable> tables = new TreeMap<>();

  /** Servers that are out or back, by name. */
  final Map<String, LedgerCodec.Ejection> ejections = new HashMap<>();

  final Map<Integer, LedgerCodec.Proxy> proxies = new HashMap<>();
  final Map<String, ListedServer> servers = new HashMap<>();
  long generation;

  LedgerTable table(int number) {
    return tables.computeIfAbsent(number, n -> new LedgerTable());
  }

  void clear() {
    tables.clear();
    ejections.clear();
    proxies.clear();
    servers.clear();
    generation = 0;
  }

  /** Takes over a stored value; a key that is not of the state is passed over. */
  void load(String text, byte[] value) throws IOException {
    LedgerCodec.Key key = LedgerCodec.Key.of(text);
    switch (key.kind()) {
      case LINE ->
          table(key.table()).lines.put(key.name(), LedgerCodec.read(value, LedgerCodec::line));
      case LEVEL ->
          table(key.table()).levels.put(key.number(), LedgerCodec.read(value, LedgerCodec::level));
      case FLOOR -> table(key.table()).floor = LedgerCodec.read(value, DataInputStream::readLong);
      case OTHER_OF_TABLE -> table(key.table());
      case EJECTION -> ejections.put(key.name(), LedgerCodec.read(value, LedgerCodec::ejection));
      case PROXY -> proxies.put(key.number(), LedgerCodec.read(value, LedgerCodec::proxy));
      case SERVER ->
          servers.put(
              key.name(), LedgerCodec.read(value, from -> LedgerCodec.server(key.name(), from)));
      case LIST -> generation = LedgerCodec.read(value, DataInputStream::readLong);
      case OTHER -> {}
    }
  }

  /** The value to store; null where there is none. */
  byte[] value(String text) {
    LedgerCodec.Key key = LedgerCodec.Key.of(text);
    return switch (key.kind()) {
      case LINE, LEVEL, FLOOR, OTHER_OF_TABLE -> tableValue(key);
      case EJECTION -> bytes(ejections.get(key.name()), LedgerCodec::of);
      case PROXY -> bytes(proxies.get(key.number()), LedgerCodec::of);
      case SERVER -> bytes(servers.get(key.name()), LedgerCodec::of);
      case LIST -> generation > 0 ? LedgerCodec.of(generation) : null;
      case OTHER -> null;
    };
  }

  private byte[] tableValue(LedgerCodec.Key key) {
    LedgerTable table = tables.get(key.table());
    if (table == null) {
      return null;
    }
    return switch (key.kind()) {
      case LINE -> bytes(table.lines.get(key.name()), LedgerCodec::of);
      case LEVEL -> bytes(table.levels.get(key.number()), LedgerCodec::of);
      case FLOOR -> LedgerCodec.of(table.floor);
      default -> null;
    };
  }

  private static <T> byte[] bytes(T value, Function<T, byte[]> writer) {
    return value == null ? null : writer.apply(value);
  }
}
