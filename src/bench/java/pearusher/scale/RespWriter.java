package pearusher.scale;

import java.nio.charset.StandardCharsets;

/** Writes RESP2 arrays of bulk strings, in ASCII, for the simulated side. */
final class RespWriter {
  private RespWriter() {}

  static byte[] message(String... words) {
    StringBuilder out = new StringBuilder(160).append('*').append(words.length).append("\r\n");
    for (String word : words) {
      out.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    return out.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  /** A message whose words stand in one text with blanks between them. */
  static byte[] words(String text) {
    return message(text.split(" "));
  }

  /** A figure with one decimal, without the cost of a formatter. */
  static String tenths(double value) {
    long tenths = Math.round(10 * value);
    return tenths / 10 + "." + tenths % 10;
  }
}
