import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line an event, with the time since the start in milliseconds. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNs = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the time since the start of the run, in milliseconds. */
  double nowMs() {
    return (System.nanoTime() - startNs) / 1e6;
  }

  /** Writes one event. */
  synchronized void line(String text) {
    out.printf("%10.1f %s%n", nowMs(), text);
  }

  /** Writes one event that is printed as well. */
  void say(String text) {
    line(text);
    System.out.println(text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
