package pearusher;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Comparison of program output with the expected texts under {@code
 * src/test/resources/pearusher/recorded}. Output that differs is written to {@code
 * target/recorded}; copy it from there by hand, and only if the change of behaviour is intended.
 */
public final class Recorded {
  private static final Path EXPECTED = Path.of("src", "test", "resources", "pearusher", "recorded");
  private static final Path ACTUAL = Path.of("target", "recorded");

  private Recorded() {}

  /** Returns the path of an expected text. */
  public static Path file(String name) {
    return EXPECTED.resolve(name);
  }

  /** Fails if the actual text differs from the expected one or if no text is recorded. */
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
   * Returns ASCII text with carriage returns, line feeds and backslashes escaped, and one RESP
   * array per line.
   */
  public static String lines(String bytes) {
    String text = bytes.replace("\\", "\\\\").replace("\r", "\\r").replace("\n", "\\n");
    return text.replace("\\r\\n*", "\\r\\n\n*");
  }
}
