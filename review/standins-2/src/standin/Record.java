package standin;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line per event, with the milliseconds since the start of the run. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNs = System.nanoTime();

  Record(Path file) throws java.io.IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  /** Returns the microseconds since the start of the run. */
  long nowUs() {
    return (System.nanoTime() - startNs) / 1000;
  }

  /** Writes one line. */
  void line(String format, Object... arguments) {
    String text = arguments.length == 0 ? format : String.format(format, arguments);
    synchronized (out) {
      out.printf("%9.3f ms  %s%n", nowUs() / 1000.0, text);
      out.flush();
    }
  }

  @Override
  public void close() {
    out.close();
  }
}
