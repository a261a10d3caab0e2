package pearusher;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Compares what the program did with a recorded text under {@code
 * src/test/resources/pearusher/recorded}. A text that differs is written to {@code
 * target/recorded}; it is copied from there by hand, and only where the change of behaviour is
 * wanted.
 */
public final class Recorded {
  private static final Path EXPECTED = Path.of("src", "test", "resources", "pearusher", "recorded");
  private static final Path ACTUAL = Path.of("target", "recorded");

  private Recorded() {}

  /** Where a recorded text is kept. */
  public static Path file(String name) {
    return EXPECTED.resolve(name);
  }

  /** Fails where the text is not the recorded one, and where none is recorded. */
  public static void check(String name, String actual) throws IOException {
    Path file = file(name);
    String expected = Files.exists(file) ? Files.readString(file) : "";
    if (!expected.equals(actual)) {
      Files.createDirectories(ACTUAL);
      Files.writeString(ACTUAL.resolve(name), actual);
    }
    assertEquals(expected, actual, file + " differs from " + ACTUAL.resolve(name));
  }

  /**
   * Bytes of ASCII text with each carriage return and line feed written out, an array of RESP a
   * line.
   */
  public static String lines(String bytes) {
    String text = bytes.replace("\\", "\\\\").replace("\r", "\\r").replace("\n", "\\n");
    return text.replace("\\r\\n*", "\\r\\n\n*");
  }
}
