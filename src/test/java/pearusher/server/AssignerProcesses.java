package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Processes started by a test, each with its output in a log file; closing kills them. */
final class AssignerProcesses implements AutoCloseable {
  private static final String MAIN_CLASS = "pearusher.cli.Main";
  private static final int EXIT_TIMEOUT_SECONDS = 20;

  private final Path directory;
  private final List<Process> processes = new ArrayList<>();

  /** The latest process of each log. */
  private final Map<String, Process> byLogName = new HashMap<>();

  /** Bound sockets that neither listen nor connect. */
  private final List<Socket> holders = new ArrayList<>();

  AssignerProcesses(Path directory) {
    this.directory = directory;
  }

  /** Starts an assigner with the classes of this build. */
  Process serve(Map<String, String> environment, String logName, String... options)
      throws IOException {
    List<String> command = new ArrayList<>(javaCommand(MAIN_CLASS, "serve"));
    command.addAll(List.of(options));
    return launch(environment, logName, command);
  }

  /** Starts a command with an environment and a log file. */
  Process launch(Map<String, String> environment, String logName, List<String> command)
      throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve(logName).toFile());
    builder.environment().keySet().removeIf(variable -> variable.startsWith("EDGE_"));
    builder.environment().putAll(environment);
    Process process = builder.start();
    processes.add(process);
    byLogName.put(logName, process);
    return process;
  }

  /** Returns a command that runs a main class of this build. */
  static List<String> javaCommand(String... arguments) {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path")));
    command.addAll(List.of(arguments));
    return command;
  }

  /**
   * Returns the run command of the deploy file, with the JAR replaced by the classes of this build.
   */
  static String deployCommand() throws IOException {
    String line =
        Files.readAllLines(Path.of("deploy", "balancer.toml")).stream()
            .filter(candidate -> candidate.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'))
        .replace(
            "-jar target/pearusher.jar",
            "-cp '" + System.getProperty("java.class.path") + "' " + MAIN_CLASS);
  }

  /** Returns the current content of a log file; empty if the file does not exist. */
  String log(String name) {
    try {
      return Files.readString(directory.resolve(name), StandardCharsets.UTF_8);
    } catch (IOException e) {
      return "";
    }
  }

  /** Waits until the log of a process contains a text; fails at once if the process has ended. */
  void awaitLog(String name, String text) throws InterruptedException {
    Process process = byLogName.get(name);
    try {
      TestPeers.awaitUntil(
          text + " in " + name,
          () -> {
            // Checked before the log is read, since a process that has ended logs nothing more.
            boolean hasEnded = !process.isAlive();
            return log(name).contains(text) || hasEnded;
          });
    } catch (AssertionError e) {
      throw new AssertionError(e.getMessage() + ", whose process runs:\n" + log(name), e);
    }
    assertTrue(
        log(name).contains(text),
        () -> text + " in " + name + ", status " + process.exitValue() + ":\n" + log(name));
  }

  void awaitReady(String name) throws InterruptedException {
    awaitLog(name, "INFO ready: n0");
  }

  void assertLogContains(String name, String text) {
    assertTrue(log(name).contains(text), log(name));
  }

  /** Waits until a process has exited. Returns its exit status. */
  static int awaitExit(Process process) throws InterruptedException {
    assertTrue(
        process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS),
        "process did not exit within 20 s");
    return process.exitValue();
  }

  static void sendHangup(Process process) throws IOException, InterruptedException {
    assertEquals(0, trySendHangup(process));
  }

  /** Sends SIGHUP to a process that may have exited already. Returns the status of {@code kill}. */
  static int trySendHangup(Process process) throws IOException, InterruptedException {
    return new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor();
  }

  /**
   * Finds a free port for an assigner to listen on, and holds it until closed. Linux lets sockets
   * that allow reuse share a port as long as at most one listens; it gives a held port neither to
   * another search nor to an outgoing connection.
   */
  int holdPort() throws IOException {
    Socket holder = new Socket();
    holders.add(holder);
    holder.setReuseAddress(true);
    holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    return holder.getLocalPort();
  }

  static int freeDatagramPort() throws IOException {
    try (DatagramSocket socket = new DatagramSocket()) {
      return socket.getLocalPort();
    }
  }

  @Override
  public void close() throws IOException {
    processes.forEach(Process::destroyForcibly);
    for (Socket holder : holders) {
      holder.close();
    }
  }
}
