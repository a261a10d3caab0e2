package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/** An assigner that runs with the command of the deploy file; closing kills it. */
final class DeployedAssigner implements AutoCloseable {
  private static final String LOG = "log";

  final InetSocketAddress address;
  private final AssignerProcesses processes;
  private final Process process;

  private DeployedAssigner(
      AssignerProcesses processes, Process process, InetSocketAddress address) {
    this.processes = processes;
    this.process = process;
    this.address = address;
  }

  /** Starts an assigner with the example configuration and waits until it is ready. */
  static DeployedAssigner start(Path directory) throws Exception {
    AssignerProcesses processes = new AssignerProcesses(directory);
    try {
      int port = processes.holdPort();
      Process process =
          processes.launch(
              new ExampleConfig().listen("127.0.0.1:" + port).write(directory),
              LOG,
              List.of("/bin/sh", "-c", AssignerProcesses.deployCommand()));
      processes.awaitReady(LOG);
      return new DeployedAssigner(
          processes, process, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    } catch (Exception | AssertionError e) {
      processes.close();
      throw e;
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  String log() {
    return processes.log(LOG);
  }

  void assertAnswersPing() throws Exception {
    assertTrue(process.isAlive(), this::log);
    try (RespClient client = new RespClient(address).startReading()) {
      client.send("ping");
      TestPeers.awaitUntil("a pong", () -> client.received.contains(List.of("pong")));
    }
    assertFalse(log().contains("OutOfMemory"), this::log);
  }

  @Override
  public void close() throws IOException {
    processes.close();
  }
}
