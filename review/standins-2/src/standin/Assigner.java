package standin;

import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The assigner process, started by the run line of the deploy file. */
final class Assigner {
  private final Record record;
  private final Path root;
  private final String runLine;
  private final Path configuration;
  private final int port;
  private final int discoveryPort;
  private volatile Process process;
  private volatile boolean expectedToEnd;
  private volatile long readyUs = Long.MAX_VALUE / 4;

  Assigner(
      Record record, Path root, String runLine, Path directory, int port, int discoveryPort) {
    this.record = record;
    this.root = root;
    this.runLine = runLine;
    configuration = directory.resolve("config.json");
    this.port = port;
    this.discoveryPort = discoveryPort;
  }

  /** Starts the process and waits until it answers a ping. */
  void start(Settings settings, String known, long seed) throws Exception {
    String listen = "127.0.0.1:" + port;
    String discovery = "127.0.0.1:" + discoveryPort;
    Files.writeString(
        configuration,
        settings.configuration(listen, discovery, Long.toHexString(seed), known));
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine);
    builder.directory(root.toFile()).redirectErrorStream(true);
    Map<String, String> environment = builder.environment();
    environment.put("EDGE_NAME", "n0");
    environment.put("EDGE_LISTEN", listen);
    environment.put("EDGE_DISCOVERY", discovery);
    environment.put("EDGE_CONFIG", configuration.toString());
    expectedToEnd = false;
    record.line("run: %s (seed %s)", runLine, Long.toHexString(seed));
    Process started = builder.start();
    process = started;
    Threads.start("assigner-log", () -> copyLog(started));
    for (int k = 0; k < 600; k++) {
      if (!started.isAlive()) {
        throw new IllegalStateException("the assigner ended with status " + started.exitValue());
      }
      if (answersPing()) {
        readyUs = record.nowUs();
        record.line("the assigner answered a ping");
        return;
      }
      Thread.sleep(50);
    }
    throw new IllegalStateException("the assigner was not ready within 30 s");
  }

  private void copyLog(Process started) throws IOException {
    BufferedReader log = new BufferedReader(new InputStreamReader(started.getInputStream()));
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      record.line("assigner's log: %s", line);
    }
  }

  private boolean answersPing() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
      socket.setSoTimeout(2000);
      socket.getOutputStream().write(Resp.encode("ping"));
      return Resp.read(new DataInputStream(socket.getInputStream())).get(0).equals("pong");
    } catch (IOException e) {
      return false;
    }
  }

  /** Kills the process outright. */
  void kill() throws InterruptedException {
    Process running = process;
    if (running != null) {
      expectedToEnd = true;
      running.destroyForcibly();
      running.waitFor(10, TimeUnit.SECONDS);
      record.line("the assigner was killed");
      readyUs = Long.MAX_VALUE / 4;
    }
  }

  /** Returns whether the process has ended by itself. */
  boolean hasCrashed() {
    Process running = process;
    return running != null && !expectedToEnd && !running.isAlive();
  }

  /** Returns when the process first answered a ping after its last start. */
  long readyUs() {
    return readyUs;
  }
}
