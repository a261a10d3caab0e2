import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** RESP2 arrays of bulk strings. */
final class Resp {
  private Resp() {}

  /** Encodes the words of a line as one message. */
  static byte[] encode(String line) {
    String[] words = line.split(" ");
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(("*" + words.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
    for (String word : words) {
      byte[] text = word.getBytes(StandardCharsets.UTF_8);
      bytes.writeBytes(("$" + text.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
      bytes.writeBytes(text);
      bytes.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
    }
    return bytes.toByteArray();
  }

  /** Reads one message; throws EOFException at the end of the stream. */
  static List<String> read(InputStream in) throws IOException {
    int count = header(in, '*');
    List<String> words = new ArrayList<>();
    for (int k = 0; k < count; k++) {
      byte[] text = in.readNBytes(header(in, '$') + 2);
      words.add(new String(text, 0, text.length - 2, StandardCharsets.UTF_8));
    }
    return words;
  }

  private static int header(InputStream in, char prefix) throws IOException {
    int first = in.read();
    if (first < 0) {
      throw new EOFException();
    }
    if (first != prefix) {
      throw new IOException("not RESP: " + first);
    }
    int length = 0;
    for (int next = in.read(); next != '\r'; next = in.read()) {
      if (next < '0' || next > '9') {
        throw new IOException("not RESP: length " + next);
      }
      length = length * 10 + next - '0';
    }
    in.read();
    return length;
  }
}
