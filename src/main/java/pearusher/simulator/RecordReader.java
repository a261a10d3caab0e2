package pearusher.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Reads the little-endian fields of a frame's records; faults name the position. */
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

  /** A fault at the current position. */
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

  private void require(long bytes) throws SimulatorProtocolException {
    if (bytes > buffer.remaining()) {
      throw fault(
          SimulatorProtocolException.Kind.TRUNCATED,
          "truncated record: " + bytes + " bytes needed, " + buffer.remaining() + " left");
    }
  }

  int readU8() throws SimulatorProtocolException {
    require(Byte.BYTES);
    return Byte.toUnsignedInt(buffer.get());
  }

  boolean readFlag() throws SimulatorProtocolException {
    return readU8() != 0;
  }

  int readU16() throws SimulatorProtocolException {
    require(Short.BYTES);
    return Short.toUnsignedInt(buffer.getShort());
  }

  long readU32() throws SimulatorProtocolException {
    require(Integer.BYTES);
    return Integer.toUnsignedLong(buffer.getInt());
  }

  long readU64() throws SimulatorProtocolException {
    require(Long.BYTES);
    return buffer.getLong();
  }

  float readFloat() throws SimulatorProtocolException {
    require(Float.BYTES);
    return buffer.getFloat();
  }

  /**
   * Reads four bytes of address, most significant first, and a port as one number that sorts like
   * the address.
   */
  long readServer() throws SimulatorProtocolException {
    require(ADDRESS_BYTES + Short.BYTES);
    long address = 0;
    for (int i = 0; i < ADDRESS_BYTES; i++) {
      address = address << Byte.SIZE | Byte.toUnsignedInt(buffer.get());
    }
    return address << PORT_BITS | Short.toUnsignedInt(buffer.getShort());
  }

  byte[] readBytes(long count) throws SimulatorProtocolException {
    require(count);
    byte[] bytes = new byte[(int) count];
    buffer.get(bytes);
    return bytes;
  }

  /** Reads a text with its length in front. */
  String readText() throws SimulatorProtocolException {
    return new String(readBytes(readU32()), StandardCharsets.UTF_8);
  }

  /** Reads load metrics with their number in front. */
  float[] readLoad() throws SimulatorProtocolException {
    int count = readU8();
    require((long) Float.BYTES * count);
    float[] load = new float[count];
    for (int i = 0; i < count; i++) {
      load[i] = buffer.getFloat();
    }
    return load;
  }
}
