package pearusher.capacity;

import java.io.IOException;

/** A program that only waits for the end of its standard input, to measure the JVM itself. */
final class EmptyMain {
  private EmptyMain() {}

  public static void main(String[] args) throws IOException {
    while (System.in.read() >= 0) {
      // Input is discarded.
    }
  }
}
