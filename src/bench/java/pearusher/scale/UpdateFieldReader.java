package pearusher.scale;

import java.nio.charset.StandardCharsets;
import java.util.function.IntConsumer;

/** Reads the fields of updates from the bytes of a message without creating strings. */
final class UpdateFieldReader {
  /** The length of a server name: two characters and eight hexadecimal digits. */
  private static final int NAME_BYTES = 10;

  /** Receives the weight entries of a table. */
  interface WeightEntryConsumer {
    void accept(int server, boolean isZero);
  }

  private UpdateFieldReader() {}

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  static String className(int number) {
    return "c" + number;
  }

  /** Returns the request classes that a field names, as bits. */
  static int readClasses(RespScanner.View view, int field) {
    int classBits = 0;
    int number = -1;
    byte[] bytes = view.bytes();
    int end = view.start(field) + view.length(field);
    for (int position = view.start(field); position <= end; position++) {
      if (position == end || bytes[position] == '+') {
        classBits |= 1 << number;
      } else if (bytes[position] == 'c') {
        number = 0;
      } else {
        number = 10 * number + bytes[position] - '0';
      }
    }
    return classBits;
  }

  /** Reads {@code name:weight,name:weight} and returns the number of entries. */
  static int readWeights(RespScanner.View view, int field, WeightEntryConsumer consumer) {
    byte[] bytes = view.bytes();
    int end = view.start(field) + view.length(field);
    int count = 0;
    int position = view.start(field);
    while (position < end) {
      int server = ServerCatalog.parseServerName(bytes, position);
      boolean isZero = true;
      position += NAME_BYTES + 1;
      for (; position < end && bytes[position] != ','; position++) {
        isZero &= bytes[position] == '0' || bytes[position] == '.';
      }
      position++;
      count++;
      consumer.accept(server, isZero);
    }
    return count;
  }

  /** Reads {@code name,name} and returns the number of names. */
  static int readServers(RespScanner.View view, int field, IntConsumer consumer) {
    int end = view.start(field) + view.length(field);
    int count = 0;
    for (int position = view.start(field); position < end; position += NAME_BYTES + 1) {
      consumer.accept(ServerCatalog.parseServerName(view.bytes(), position));
      count++;
    }
    return count;
  }
}
