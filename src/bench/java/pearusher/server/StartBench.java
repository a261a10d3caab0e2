package pearusher.server;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Time from the start of {@code serve} to the first pong: this build beside an earlier one, by
 * turns.
 */
public final class StartBench {
  private static final int ROUNDS = 31;

  private StartBench() {}

  public static void main(String[] args) throws Exception {
    List<Path> jars = List.of(Path.of(args[0]), Path.of("target/pearusher.jar"));
    double[][] ms = new double[2][ROUNDS];
    for (int round = -1; round < ROUNDS; round++) {
      for (int k = 0; k < 2; k++) {
        double took = start(jars.get(k));
        if (round >= 0) {
          ms[k][round] = took;
        }
      }
    }
    Arrays.sort(ms[0]);
    Arrays.sort(ms[1]);
    System.out.printf(
        "start_old %.1f ms%nstart_new %.1f ms%nstart_ratio %.3f of_old%n",
        ms[0][ROUNDS / 2], ms[1][ROUNDS / 2], ms[1][ROUNDS / 2] / ms[0][ROUNDS / 2]);
  }

  private static double start(Path jar) throws Exception {
    Path dir = Files.createTempDirectory(Path.of("target"), "start");
    int port;
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    Map<String, String> environment = new ExampleConfig().listen("127.0.0.1:" + port).write(dir);
    ProcessBuilder how =
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
            .redirectOutput(dir.resolve("log").toFile());
    how.environment().putAll(environment);
    long begin = System.nanoTime();
    Process p = how.start();
    try {
      while (true) {
        try (RespClient caller =
            new RespClient(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))) {
          caller.socket.setSoTimeout(20_000);
          caller.send("ping");
          if (caller.socket.getInputStream().read() >= 0) {
            return (System.nanoTime() - begin) / 1e6;
          }
        } catch (java.io.IOException notYet) {
          Thread.sleep(1);
        }
      }
    } finally {
      p.destroyForcibly();
      p.waitFor(10, TimeUnit.SECONDS);
    }
  }
}
