package pearusher.capacity;

import java.io.IOException;

/** Does nothing until its standard input ends: what a virtual machine takes by itself. */
final class EmptyMain {
  private EmptyMain() {}

  public static void main(String[] args) throws IOException {
    while (System.in.read() >= 0) {
      // What comes is not used.
    }
  }
}
