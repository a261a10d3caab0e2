package pearusher.capacity;

import java.io.IOException;

/** Does nothing until its standard input ends, to measure the virtual machine itself. */
final class EmptyMain {
  private EmptyMain() {}

  public static void main(String[] args) throws IOException {
    while (System.in.read() >= 0) {
      // Input is discarded.
    }
  }
}
