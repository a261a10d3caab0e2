package standin;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** RESP2 arrays of bulk strings. */
final class Resp {
  private Resp() {}

  /** Encodes the words of a text, which are separated by blanks, as one message. */
  static byte[] encode(String text) {
    String[] words = text.split(" ");
    StringBuilder out = new StringBuilder();
    out.append('*').append(words.length).append("\r\n");
    for (String word : words) {
      int bytes = word.getBytes(StandardCharsets.UTF_8).length;
      out.append('$').append(bytes).append("\r\n").append(word).append("\r\n");
    }
    return out.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Reads one message. */
  static List<String> read(DataInputStream in) throws IOException {
    int count = length(in, '*');
    List<String> words = new ArrayList<>(count);
    for (int k = 0; k < count; k++) {
      byte[] bytes = new byte[length(in, '$')];
      in.readFully(bytes);
      in.readByte();
      in.readByte();
      words.add(new String(bytes, StandardCharsets.UTF_8));
    }
    return words;
  }

  private static int length(DataInputStream in, char prefix) throws IOException {
    int first = in.read();
    if (first < 0) {
      throw new EOFException();
    }
    if (first != prefix) {
      throw new IOException("expected " + prefix + ", found " + (char) first);
    }
    int length = 0;
    for (int next = in.readByte(); next != '\n'; next = in.readByte()) {
      if (next != '\r') {
        length = 10 * length + next - '0';
      }
    }
    return length;
  }
}
