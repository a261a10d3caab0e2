package pearusher.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Encoder of messages as RESP2 arrays of bulk strings. Stateless. */
public final class RespWriter {
  static final char ARRAY_PREFIX = '*';
  static final char BULK_STRING_PREFIX = '$';
  private static final byte[] LINE_END = {'\r', '\n'};
  private static final int INITIAL_BUFFER_BYTES = 256;

  private RespWriter() {}

  /**
   * Encodes one message.
   *
   * @param strings the strings of the message
   * @return the RESP array, including all headers
   */
  public static byte[] encode(List<String> strings) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
    writeHeader(out, ARRAY_PREFIX, strings.size());
    for (String string : strings) {
      byte[] bytes = string.getBytes(StandardCharsets.UTF_8);
      writeHeader(out, BULK_STRING_PREFIX, bytes.length);
      out.writeBytes(bytes);
      out.writeBytes(LINE_END);
    }
    return out.toByteArray();
  }

  private static void writeHeader(ByteArrayOutputStream out, char prefix, int length) {
    out.writeBytes((prefix + Integer.toString(length)).getBytes(StandardCharsets.ISO_8859_1));
    out.writeBytes(LINE_END);
  }
}
