package standin;

/** Daemon threads whose failures end them silently: a connection that ends, an interrupt. */
final class Threads {
  private Threads() {}

  /** A task that may fail. */
  interface Task {
    void run() throws Exception;
  }

  static Thread start(String name, Task task) {
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                task.run();
              } catch (java.io.IOException | InterruptedException e) {
                // The connection or the run has ended.
              } catch (Exception e) {
                e.printStackTrace();
              }
            },
            name,
            256 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
