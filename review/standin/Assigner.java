import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Starts the assigner by the run line of the deploy file, as the platform does. */
final class Assigner {
  final int port;
  private final Path root;
  private final Path temp;
  private final Record record;
  private final String discovery;
  private Process process;

  /**
   * When the assigner first answered a ping since its last start, in milliseconds of the record.
   */
  volatile double readyMs = Double.MAX_VALUE;

  Assigner(Path root, Path temp, Record record, int port, String discovery) {
    this.root = root;
    this.temp = temp;
    this.record = record;
    this.port = port;
    this.discovery = discovery;
  }

  private String runLine() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring("run = \"".length(), line.indexOf('"', "run = \"".length()));
      }
    }
    throw new IOException("deploy/balancer.toml has no run line");
  }

  /** Starts the process with a configuration and waits for its first pong, 30 s at most. */
  void start(String config) throws Exception {
    Path file = temp.resolve("config.json");
    Files.writeString(file, config);
    Path privateTemp = Files.createTempDirectory(temp, "process");
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine());
    builder.directory(root.toFile()).redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(temp.resolve("log").toFile()));
    builder
        .environment()
        .putAll(
            Map.of(
                "EDGE_NAME",
                "n0",
                "EDGE_LISTEN",
                "127.0.0.1:" + port,
                "EDGE_DISCOVERY",
                discovery,
                "EDGE_CONFIG",
                file.toString(),
                "TMPDIR",
                privateTemp.toString()));
    readyMs = Double.MAX_VALUE;
    process = builder.start();
    record.say("assigner started, process " + process.pid());
    for (int attempt = 0; attempt < 300; attempt++) {
      if (!process.isAlive()) {
        throw new IOException("the assigner ended with status " + process.exitValue());
      }
      if (ping(1000)) {
        readyMs = record.nowMs();
        record.say("assigner ready");
        return;
      }
      Thread.sleep(100);
    }
    throw new IOException("the assigner is not ready after 30 s");
  }

  /** Returns whether a ping on a new connection is answered in time. */
  boolean ping(int timeoutMs) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
      socket.setSoTimeout(timeoutMs);
      socket.getOutputStream().write(Resp.encode("ping"));
      InputStream in = socket.getInputStream();
      return Resp.read(in).equals(List.of("pong"));
    } catch (IOException e) {
      return false;
    }
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  int exitStatus() {
    return process.exitValue();
  }

  /** Kills the process outright (SIGKILL) and waits for its end. */
  void kill() throws InterruptedException {
    record.say("assigner killed, process " + process.pid());
    process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
  }

  /** Ends the process with SIGTERM, and SIGKILL after 3 s. */
  void terminate() throws InterruptedException {
    if (isAlive()) {
      record.say("assigner sent SIGTERM, process " + process.pid());
      process.destroy();
      if (!process.waitFor(3, TimeUnit.SECONDS)) {
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
      }
    }
  }

  /** Kills the process if it still runs; for the end of this program. */
  void killAtExit() {
    if (isAlive()) {
      process.destroyForcibly();
    }
  }

  /** Copies the log of all processes into the record. */
  void recordLog() throws IOException {
    Path log = temp.resolve("log");
    if (Files.exists(log)) {
      Files.readAllLines(log).forEach(line -> record.line("log: " + line));
    }
  }
}
