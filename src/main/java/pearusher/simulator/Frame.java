package pearusher.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Optional;

/**
 * Encoded batch of events: a header of 16 bytes, followed by the records.
 *
 * @param recordCount the number of records according to the header
 * @param nowUs the time of the batch in microseconds
 * @param body the encoded records
 */
record Frame(long recordCount, long nowUs, byte[] body) {
  private static final int HEADER_BYTES = 16;

  /** Returns the length of header and body in bytes. */
  long size() {
    return (long) HEADER_BYTES + body.length;
  }

  /**
   * Reads the next frame.
   *
   * @param offset the position of the frame in the input, for error messages
   * @return the frame; empty at the end of the input
   * @throws SimulatorProtocolException if the input ends within the frame, or the length in the
   *     header exceeds the maximum array size
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

  private static SimulatorProtocolException truncated(String detail) {
    return new SimulatorProtocolException(
        SimulatorProtocolException.Kind.TRUNCATED, "truncated " + detail);
  }
}
