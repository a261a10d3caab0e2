package pearusher.recovery;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import pearusher.policy.AdmissionLevel;
import pearusher.policy.Lifecycle;

/**
 * The store's keys and the bytes of their values, specified in docs/store.md; the one place that
 * knows them.
 */
final class LedgerCodec {
  static final String META = "m";
  static final String LIST = "g";
  static final String SERVER = "s/";
  static final String EJECTION = "w/";
  static final String PROXY = "p/";
  static final String TABLE = "t/";
  static final String LINE = "/l/";
  static final String LEVEL = "/v/";
  static final String FLOOR = "/f";

  /** What a key names. */
  enum Kind {
    LINE,
    LEVEL,
    FLOOR,
    OTHER_OF_TABLE,
    EJECTION,
    PROXY,
    SERVER,
    LIST,
    OTHER
  }

  /**
   * A key, read.
   *
   * @param table the table's number, of the first four kinds
   * @param name what follows: a server's name, or the number of a proxy or class
   */
  record Key(Kind kind, int table, String name) {
    static Key of(String key) {
      if (key.startsWith(TABLE)) {
        return ofTable(key);
      }
      if (key.startsWith(EJECTION)) {
        return new Key(Kind.EJECTION, 0, key.substring(EJECTION.length()));
      }
      if (key.startsWith(PROXY)) {
        return new Key(Kind.PROXY, 0, key.substring(PROXY.length()));
      }
      if (key.startsWith(SERVER)) {
        return new Key(Kind.SERVER, 0, key.substring(SERVER.length()));
      }
      return new Key(key.equals(LIST) ? Kind.LIST : Kind.OTHER, 0, "");
    }

    private static Key ofTable(String key) {
      int end = key.indexOf('/', TABLE.length());
      int table = Integer.parseInt(key.substring(TABLE.length(), end));
      String rest = key.substring(end);
      if (rest.startsWith(LINE)) {
        return new Key(Kind.LINE, table, rest.substring(LINE.length()));
      }
      if (rest.startsWith(LEVEL)) {
        return new Key(Kind.LEVEL, table, rest.substring(LEVEL.length()));
      }
      return new Key(rest.equals(FLOOR) ? Kind.FLOOR : Kind.OTHER_OF_TABLE, table, "");
    }

    int number() {
      return Integer.parseInt(name);
    }
  }

  static String lineKey(int table, String server) {
    return TABLE + table + LINE + server;
  }

  static String levelKey(int table, int grade) {
    return TABLE + table + LEVEL + grade;
  }

  static String floorKey(int table) {
    return TABLE + table + FLOOR;
  }

  /** The ledger as a whole. {@code settings}: names of the assigner, zones and classes. */
  record Meta(long epoch, long turn, long timeUs, int mark, String settings) {}

  record Line(double weight, long turn) {}

  record LevelAt(AdmissionLevel level, long turn) {}

  /** A server that is out or back. */
  record Ejection(boolean out, long turn, long timeUs) {}

  /** A proxy: its table, the turn that brought it whole, and the last one it has answered for. */
  record Proxy(int table, long whole, long applied) {}

  private interface Body {
    void write(DataOutputStream to) throws IOException;
  }

  /** Reads a value. */
  interface Reader<T> {
    T read(DataInputStream from) throws IOException;
  }

  private LedgerCodec() {}

  private static byte[] bytes(Body body) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(32);
    try (DataOutputStream to = new DataOutputStream(out)) {
      body.write(to);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  /** Reads a value that must be there whole and no longer. */
  static <T> T read(byte[] bytes, Reader<T> reader) throws IOException {
    try (DataInputStream from = new DataInputStream(new ByteArrayInputStream(bytes))) {
      T out = reader.read(from);
      if (from.available() > 0) {
        throw new IOException(from.available() + " bytes too many");
      }
      return out;
    }
  }

  static byte[] of(Meta m) {
    return bytes(
        to -> {
          to.writeLong(m.epoch());
          to.writeLong(m.turn());
          to.writeLong(m.timeUs());
          to.writeInt(m.mark());
          to.writeUTF(m.settings());
        });
  }

  static Meta meta(DataInputStream from) throws IOException {
    return new Meta(
        from.readLong(), from.readLong(), from.readLong(), from.readInt(), from.readUTF());
  }

  static byte[] of(Line l) {
    return bytes(
        to -> {
          to.writeDouble(l.weight());
          to.writeLong(l.turn());
        });
  }

  static Line line(DataInputStream from) throws IOException {
    return new Line(from.readDouble(), from.readLong());
  }

  static byte[] of(LevelAt l) {
    return bytes(
        to -> {
          to.writeDouble(l.level().probabilityOrRate());
          to.writeByte(l.level().retry());
          to.writeLong(l.turn());
        });
  }

  static LevelAt level(DataInputStream from) throws IOException {
    return new LevelAt(new AdmissionLevel(from.readDouble(), from.readByte()), from.readLong());
  }

  static byte[] of(Ejection e) {
    return bytes(
        to -> {
          to.writeBoolean(e.out());
          to.writeLong(e.turn());
          to.writeLong(e.timeUs());
        });
  }

  static Ejection ejection(DataInputStream from) throws IOException {
    return new Ejection(from.readBoolean(), from.readLong(), from.readLong());
  }

  static byte[] of(Proxy p) {
    return bytes(
        to -> {
          to.writeInt(p.table());
          to.writeLong(p.whole());
          to.writeLong(p.applied());
        });
  }

  static Proxy proxy(DataInputStream from) throws IOException {
    return new Proxy(from.readInt(), from.readLong(), from.readLong());
  }

  // The order of the states is part of the stored format: new ones go to the end.
  @SuppressWarnings("EnumOrdinal")
  static byte[] of(ListedServer s) {
    return bytes(
        to -> {
          to.writeBoolean(s.hostPort() != null);
          to.writeUTF(s.hostPort() == null ? "" : s.hostPort());
          to.writeInt(s.zone());
          to.writeInt(s.machineType());
          to.writeInt(s.cell());
          to.writeByte(s.lifecycle().ordinal());
          to.writeDouble(s.weight());
          to.writeLong(s.startedUs());
        });
  }

  // As above: the order of the states is part of the stored format.
  @SuppressWarnings("EnumOrdinal")
  static ListedServer server(String name, DataInputStream from) throws IOException {
    boolean addressed = from.readBoolean();
    String hostPort = from.readUTF();
    int zone = from.readInt();
    int kind = from.readInt();
    int cell = from.readInt();
    int state = from.readByte();
    if (state < 0 || state >= Lifecycle.values().length) {
      throw new IOException("no state " + state);
    }
    return new ListedServer(
        name,
        addressed ? hostPort : null,
        zone,
        kind,
        cell,
        Lifecycle.values()[state],
        from.readDouble(),
        from.readLong());
  }

  static byte[] of(long number) {
    return bytes(to -> to.writeLong(number));
  }
}
