package pearusher.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Reads the fields of one frame's body, little-endian, and knows where it stands. */
final class RecordReader {
  private final ByteBuffer buf;
  private int record;
  private int code;

  RecordReader(byte[] body) {
    buf = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
  }

  /** Starts the next record and gives its code. */
  int next() throws SimulatorProtocolException {
    record = buf.position();
    code = -1;
    code = u8();
    return code;
  }

  boolean ended() {
    return !buf.hasRemaining();
  }

  SimulatorProtocolException fault(String what) {
    String which = code < 0 ? "" : ", record code " + code;
    return new SimulatorProtocolException(
        what
            + " at byte "
            + buf.position()
            + " of the frame's body (record at byte "
            + record
            + which
            + ")");
  }

  private void need(long n) throws SimulatorProtocolException {
    if (n > buf.remaining()) {
      throw fault("truncated record: " + n + " bytes needed, " + buf.remaining() + " left");
    }
  }

  int u8() throws SimulatorProtocolException {
    need(1);
    return buf.get() & 0xff;
  }

  boolean flag() throws SimulatorProtocolException {
    return u8() != 0;
  }

  int u16() throws SimulatorProtocolException {
    need(2);
    return buf.getShort() & 0xffff;
  }

  long u32() throws SimulatorProtocolException {
    need(4);
    return buf.getInt() & 0xffffffffL;
  }

  long u64() throws SimulatorProtocolException {
    need(8);
    return buf.getLong();
  }

  float f32() throws SimulatorProtocolException {
    need(4);
    return buf.getFloat();
  }

  /**
   * Four bytes of address, first byte first, and a port, as one number that sorts like the address.
   */
  long task() throws SimulatorProtocolException {
    need(6);
    long address = 0;
    for (int i = 0; i < 4; i++) {
      address = address << 8 | (buf.get() & 0xff);
    }
    return address << 16 | (buf.getShort() & 0xffff);
  }

  byte[] bytes(long n) throws SimulatorProtocolException {
    need(n);
    byte[] out = new byte[(int) n];
    buf.get(out);
    return out;
  }

  String text() throws SimulatorProtocolException {
    return new String(bytes(u32()), StandardCharsets.UTF_8);
  }

  float[] load() throws SimulatorProtocolException {
    int n = u8();
    need(4L * n);
    float[] out = new float[n];
    for (int i = 0; i < n; i++) {
      out[i] = buf.getFloat();
    }
    return out;
  }
}
