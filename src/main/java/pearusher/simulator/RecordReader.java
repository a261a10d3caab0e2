package pearusher.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Reader of the little-endian fields of a frame's records. Error messages name the position. */
final class RecordReader {
  private static final int NO_CODE = -1;
  private static final int ADDRESS_BYTES = 4;
  private static final int PORT_BITS = 16;

  private final ByteBuffer buffer;
  private int recordStart;
  private int code;

  RecordReader(byte[] body) {
    buffer = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
  }

  /** Starts the next record and returns its code. */
  int nextRecord() throws SimulatorProtocolException {
    recordStart = buffer.position();
    code = NO_CODE;
    code = readU8();
    return code;
  }

  boolean isAtEnd() {
    return !buffer.hasRemaining();
  }

  /** Returns an exception that names the current position, the record and its code. */
  SimulatorProtocolException fault(SimulatorProtocolException.Kind kind, String text) {
    String codeText = code == NO_CODE ? "" : ", record code " + code;
    return new SimulatorProtocolException(
        kind,
        text
            + " at byte "
            + buffer.position()
            + " of the frame's body (record at byte "
            + recordStart
            + codeText
            + ")");
  }

  private void requireRemaining(long bytes) throws SimulatorProtocolException {
    if (bytes > buffer.remaining()) {
      throw fault(
          SimulatorProtocolException.Kind.TRUNCATED,
          "truncated record: " + bytes + " bytes needed, " + buffer.remaining() + " left");
    }
  }

  int readU8() throws SimulatorProtocolException {
    requireRemaining(Byte.BYTES);
    return Byte.toUnsignedInt(buffer.get());
  }

  boolean readFlag() throws SimulatorProtocolException {
    return readU8() != 0;
  }

  int readU16() throws SimulatorProtocolException {
    requireRemaining(Short.BYTES);
    return Short.toUnsignedInt(buffer.getShort());
  }

  long readU32() throws SimulatorProtocolException {
    requireRemaining(Integer.BYTES);
    return Integer.toUnsignedLong(buffer.getInt());
  }

  long readU64() throws SimulatorProtocolException {
    requireRemaining(Long.BYTES);
    return buffer.getLong();
  }

  float readFloat() throws SimulatorProtocolException {
    requireRemaining(Float.BYTES);
    return buffer.getFloat();
  }

  /**
   * Reads a server's IPv4 address (four bytes, most significant first) and port as one number,
   * which has the port in its low 16 bits and sorts by address first.
   */
  long readServer() throws SimulatorProtocolException {
    requireRemaining(ADDRESS_BYTES + Short.BYTES);
    long address = 0;
    for (int i = 0; i < ADDRESS_BYTES; i++) {
      address = address << Byte.SIZE | Byte.toUnsignedInt(buffer.get());
    }
    return address << PORT_BITS | Short.toUnsignedInt(buffer.getShort());
  }

  byte[] readBytes(long count) throws SimulatorProtocolException {
    requireRemaining(count);
    byte[] bytes = new byte[(int) count];
    buffer.get(bytes);
    return bytes;
  }

  /** Reads a 32-bit length and a UTF-8 text of that number of bytes. */
  String readText() throws SimulatorProtocolException {
    return new String(readBytes(readU32()), StandardCharsets.UTF_8);
  }

  /** Reads an 8-bit count and that number of load metrics. */
  float[] readLoad() throws SimulatorProtocolException {
    int count = readU8();
    requireRemaining((long) Float.BYTES * count);
    float[] load = new float[count];
    for (int i = 0; i < count; i++) {
      load[i] = buffer.getFloat();
    }
    return load;
  }
}
