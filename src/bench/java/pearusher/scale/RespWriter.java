package pearusher.scale;

import java.nio.charset.StandardCharsets;

/** Encodes ASCII messages of simulated processes as RESP2 arrays of bulk strings. */
final class RespWriter {
  private RespWriter() {}

  static byte[] encode(String... fields) {
    StringBuilder out = new StringBuilder(160).append('*').append(fields.length).append("\r\n");
    for (String field : fields) {
      out.append('$').append(field.length()).append("\r\n").append(field).append("\r\n");
    }
    return out.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Encodes a message whose fields are separated by spaces. */
  static byte[] encodeWords(String text) {
    return encode(text.split(" "));
  }

  /** Formats a number with one decimal place, without the cost of a formatter. */
  static String formatTenths(double value) {
    long rounded = Math.round(10 * value);
    return rounded / 10 + "." + rounded % 10;
  }
}
