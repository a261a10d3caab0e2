package pearusher.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Reads the fields of one frame's body, little-endian, and knows where it stands. */
final class Fields {
  private final ByteBuffer buf;
  private int record;
  private int code;

  Fields(byte[] body) {
    buf = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
  }

  /** Starts the next record and gives its code. */
  int next() throws WireException {
    record = buf.position();
    code = -1;
    code = u8();
    return code;
  }

  boolean ended() {
    return !buf.hasRemaining();
  }

  WireException fault(String what) {
    String which = code < 0 ? "" : ", record code " + code;
    return new WireException(
        what
            + " at byte "
            + buf.position()
            + " of the frame's body (record at byte "
            + record
            + which
            + ")");
  }

  private void need(long n) throws WireException {
    if (n > buf.remaining()) {
      throw fault("truncated record: " + n + " bytes needed, " + buf.remaining() + " left");
    }
  }

  int u8() throws WireException {
    need(1);
    return buf.get() & 0xff;
  }

  boolean flag() throws WireException {
    return u8() != 0;
  }

  int u16() throws WireException {
    need(2);
    return buf.getShort() & 0xffff;
  }

  long u32() throws WireException {
    need(4);
    return buf.getInt() & 0xffffffffL;
  }

  long u64() throws WireException {
    need(8);
    return buf.getLong();
  }

  float f32() throws WireException {
    need(4);
    return buf.getFloat();
  }

  /**
   * Four bytes of address, first byte first, and a port, as one number that sorts like the address.
   */
  long task() throws WireException {
    need(6);
    long address = 0;
    for (int i = 0; i < 4; i++) {
      address = address << 8 | (buf.get() & 0xff);
    }
    return address << 16 | (buf.getShort() & 0xffff);
  }

  byte[] bytes(long n) throws WireException {
    need(n);
    byte[] out = new byte[(int) n];
    buf.get(out);
    return out;
  }

  String text() throws WireException {
    return new String(bytes(u32()), StandardCharsets.UTF_8);
  }

  float[] load() throws WireException {
    int n = u8();
    need(4L * n);
    float[] out = new float[n];
    for (int i = 0; i < n; i++) {
      out[i] = buf.getFloat();
    }
    return out;
  }
}
