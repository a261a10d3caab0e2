package pearusher.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Optional;

/**
 * One batch of events as it is read: a header of 16 bytes, then the records.
 *
 * @param recordCount the number of records that the header announces
 * @param nowUs the time of the batch
 */
record Frame(long recordCount, long nowUs, byte[] body) {
  private static final int HEADER_BYTES = 16;

  /** The bytes of header and body. */
  long size() {
    return (long) HEADER_BYTES + body.length;
  }

  /**
   * Reads the next frame.
   *
   * @param offset position of the frame in the input, for faults
   * @return empty at the end of the input
   * @throws SimulatorProtocolException where the input ends within the frame
   */
  static Optional<Frame> read(InputStream in, long offset)
      throws IOException, SimulatorProtocolException {
    byte[] header = in.readNBytes(HEADER_BYTES);
    if (header.length == 0) {
      return Optional.empty();
    }
    if (header.length < HEADER_BYTES) {
      throw truncated("header: " + header.length + " bytes of a frame at byte " + offset);
    }
    ByteBuffer fields = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
    long length = Integer.toUnsignedLong(fields.getInt());
    long recordCount = Integer.toUnsignedLong(fields.getInt());
    long nowUs = fields.getLong();
    return Optional.of(new Frame(recordCount, nowUs, readBody(in, length, offset)));
  }

  private static byte[] readBody(InputStream in, long length, long offset)
      throws IOException, SimulatorProtocolException {
    if (length > Integer.MAX_VALUE - HEADER_BYTES) {
      throw new SimulatorProtocolException(
          SimulatorProtocolException.Kind.LENGTH_MISMATCH,
          "frame at byte " + offset + ": length " + length + " is too large");
    }
    byte[] body = in.readNBytes((int) length);
    if (body.length < length) {
      throw truncated(
          "frame at byte " + offset + ": " + length + " bytes announced, " + body.length + " came");
    }
    return body;
  }

  private static SimulatorProtocolException truncated(String where) {
    return new SimulatorProtocolException(
        SimulatorProtocolException.Kind.TRUNCATED, "truncated " + where);
  }
}
