package pearusher.server;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Measures the time from the start of {@code serve} to the first pong. Alternates between this
 * build and an earlier one, whose jar is the argument.
 */
public final class StartBench {
  private static final int ROUNDS = 31;
  private static final int READ_TIMEOUT_MS = 20_000;
  private static final long EXIT_TIMEOUT_SECONDS = 10;

  private StartBench() {}

  public static void main(String[] args) throws Exception {
    Path oldJar = Path.of(args[0]);
    Path newJar = Path.of("target/pearusher.jar");
    double[] oldMs = new double[ROUNDS];
    double[] newMs = new double[ROUNDS];
    // An unmeasured round fills the caches of the system.
    millisToFirstPong(oldJar);
    millisToFirstPong(newJar);
    for (int round = 0; round < ROUNDS; round++) {
      oldMs[round] = millisToFirstPong(oldJar);
      newMs[round] = millisToFirstPong(newJar);
    }
    double oldMedianMs = median(oldMs);
    double newMedianMs = median(newMs);
    System.out.printf("start_old %.1f ms%n", oldMedianMs);
    System.out.printf("start_new %.1f ms%n", newMedianMs);
    System.out.printf("start_ratio %.3f of_old%n", newMedianMs / oldMedianMs);
  }

  private static double median(double[] values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }

  private static double millisToFirstPong(Path jar) throws Exception {
    Path directory = Files.createTempDirectory(Path.of("target"), "start");
    int port = freePort();
    Map<String, String> environment =
        new ExampleConfig().listen("127.0.0.1:" + port).write(directory);
    ProcessBuilder builder =
        new ProcessBuilder(
                "java",
                "-Xms40m",
                "-Xmx40m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData",
                "-Xshare:auto",
                "-jar",
                jar.toString(),
                "serve")
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve("log").toFile());
    builder.environment().putAll(environment);
    long startNs = System.nanoTime();
    Process process = builder.start();
    try {
      awaitPong(port);
      return (System.nanoTime() - startNs) / 1e6;
    } finally {
      process.destroyForcibly();
      process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private static void awaitPong(int port) throws Exception {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    while (!receivesPong(address)) {
      Thread.sleep(1);
    }
  }

  private static boolean receivesPong(InetSocketAddress address) {
    try (RespClient client = new RespClient(address)) {
      client.socket.setSoTimeout(READ_TIMEOUT_MS);
      client.send("ping");
      return client.socket.getInputStream().read() >= 0;
    } catch (IOException notListeningYet) {
      return false;
    }
  }
}
