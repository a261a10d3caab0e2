package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Other clients of an assigner while one client closes its connections with much unread. */
class ClosedConnectionTest {
  private static final int REPORTS_PER_CONNECTION = 20_000;
  private static final long DURATION_NS = TimeUnit.SECONDS.toNanos(5);

  /** Time after which the assigner closes a connection that has not identified itself. */
  private static final double IDENTIFICATION_TIMEOUT_MS = 2000;

  @TempDir Path directory;

  /** Sends reports in one write and resets the connection, again and again. */
  private static void sendAndReset(DeployedAssigner assigner, AtomicBoolean stopped) {
    byte[] report =
        TestPeers.encodeLine(
            "heard zone north server s-5be2a07c tries 2 failed 0 mean_ms 40 span_ms 1000");
    ByteArrayOutputStream reports = new ByteArrayOutputStream();
    for (int k = 0; k < REPORTS_PER_CONNECTION; k++) {
      reports.writeBytes(report);
    }
    while (!stopped.get()) {
      try (RespClient collector = new RespClient(assigner.address)) {
        collector.send("collector zone north");
        collector.send(reports.toByteArray());
        collector.reset();
      } catch (IOException closed) {
        // The assigner may close a connection when its descriptors run short.
      }
    }
  }

  /**
   * Guards against connections that their clients have closed, but that wait with megabytes of
   * unread reports: they delay others, and occupy the descriptors of those that join.
   */
  @Test
  void connectionsClosedWithMuchUnreadNeitherDelayNorEvictOthers() throws Exception {
    try (DeployedAssigner assigner = DeployedAssigner.start(directory)) {
      AtomicBoolean stopped = new AtomicBoolean();
      Thread closing = new Thread(() -> sendAndReset(assigner, stopped));
      closing.start();
      double longestMs = 0;
      long endNs = System.nanoTime() + DURATION_NS;
      try {
        while (System.nanoTime() < endNs) {
          longestMs = Math.max(longestMs, joinAndAwaitTable(assigner));
        }
      } finally {
        stopped.set(true);
        closing.join();
      }
      assertTrue(longestMs < IDENTIFICATION_TIMEOUT_MS, "longest wait: " + longestMs + " ms");
      assigner.assertAnswersPing();
    }
  }

  /** Joins and waits for the table; returns the wait in milliseconds. */
  private static double joinAndAwaitTable(DeployedAssigner assigner) throws Exception {
    long startNs = System.nanoTime();
    try (RespClient proxy = new RespClient(assigner.address).startReading()) {
      proxy.send("joined proxy 1 zone north weight 1 fresh 1");
      TestPeers.awaitUntil("a table, or the end", () -> proxy.isEnded || !proxy.received.isEmpty());
      assertFalse(proxy.received.isEmpty(), () -> "closed before its table:\n" + assigner.log());
      assertEquals("update", proxy.received.get(0).get(0));
      assertTrue(proxy.received.get(0).containsAll(List.of("whole", "lines")));
    }
    return (System.nanoTime() - startNs) / 1e6;
  }
}
