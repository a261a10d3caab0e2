package pearusher.scale;

import java.nio.charset.StandardCharsets;
import java.util.function.IntConsumer;

/** Reads the values of orders out of a message's bytes, without strings. */
final class UpdateFieldReader {
  /** A server's name is two characters and eight digits. */
  private static final int NAME_BYTES = 10;

  /** A line of a table; {@code zero}: it is taken out. */
  interface Line {
    void take(int server, boolean zero);
  }

  private UpdateFieldReader() {}

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  static String className(int number) {
    return "c" + number;
  }

  /** The classes that a value names, as bits; all where the field is left out. */
  static int classes(RespScanner.View view, int word, int all) {
    if (word < 0) {
      return all;
    }
    int out = 0;
    int number = -1;
    byte[] bytes = view.bytes();
    int end = view.start(word) + view.length(word);
    for (int at = view.start(word); at <= end; at++) {
      if (at == end || bytes[at] == '+') {
        out |= 1 << number;
      } else if (bytes[at] == 'c') {
        number = 0;
      } else {
        number = 10 * number + bytes[at] - '0';
      }
    }
    return out;
  }

  /** Reads {@code name:weight,name:weight} and returns how many lines there are. */
  static int lines(RespScanner.View view, int word, Line to) {
    byte[] bytes = view.bytes();
    int end = view.start(word) + view.length(word);
    int count = 0;
    int at = view.start(word);
    while (at < end) {
      int server = ServerCatalog.number(bytes, at);
      boolean zero = true;
      at += NAME_BYTES + 1;
      for (; at < end && bytes[at] != ','; at++) {
        zero &= bytes[at] == '0' || bytes[at] == '.';
      }
      at++;
      count++;
      to.take(server, zero);
    }
    return count;
  }

  /** Reads {@code name,name} and returns how many names there are. */
  static int names(RespScanner.View view, int word, IntConsumer to) {
    int end = view.start(word) + view.length(word);
    int count = 0;
    for (int at = view.start(word); at < end; at += NAME_BYTES + 1) {
      to.accept(ServerCatalog.number(view.bytes(), at));
      count++;
    }
    return count;
  }
}
