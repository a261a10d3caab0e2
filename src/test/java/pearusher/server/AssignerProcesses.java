package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Processes that a test starts, each with its log in a file; closing kills them. */
final class AssignerProcesses implements AutoCloseable {
  private static final String MAIN_CLASS = "pearusher.cli.Main";
  private static final int EXIT_TIMEOUT_SECONDS = 20;

  private final Path directory;
  private final List<Process> processes = new ArrayList<>();

  AssignerProcesses(Path directory) {
    this.directory = directory;
  }

  /** Starts an assigner of this build. */
  Process serve(Map<String, String> environment, String logName, String... options)
      throws IOException {
    List<String> command = new ArrayList<>(javaCommand(MAIN_CLASS, "serve"));
    command.addAll(List.of(options));
    return launch(environment, logName, command);
  }

  /** Starts any command. */
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
    return process;
  }

  /** A command that runs a class of this build. */
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

  /** The run line of the deploy file, with the classes of this build. */
  static String runLine() throws IOException {
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

  /** The log of a process so far; empty before there is one. */
  String log(String name) {
    try {
      return Files.readString(directory.resolve(name), StandardCharsets.UTF_8);
    } catch (IOException e) {
      return "";
    }
  }

  /** Waits until a log contains a text. */
  void awaitLog(String name, String text) throws InterruptedException {
    TestPeers.awaitUntil(text + " in " + name, () -> log(name).contains(text));
  }

  void awaitReady(String name) throws InterruptedException {
    awaitLog(name, "INFO ready: n0");
  }

  void assertLogContains(String name, String text) {
    assertTrue(log(name).contains(text), log(name));
  }

  /** Waits for the end of a process, and returns its status. */
  static int awaitExit(Process process) throws InterruptedException {
    assertTrue(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), "it doesn't end");
    return process.exitValue();
  }

  static void sendHangup(Process process) throws IOException, InterruptedException {
    assertEquals(0, hangup(process));
  }

  /** Sends SIGHUP to a process that may have ended already; the status of the command. */
  static int hangup(Process process) throws IOException, InterruptedException {
    return new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor();
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  static int freeDatagramPort() throws IOException {
    try (DatagramSocket socket = new DatagramSocket()) {
      return socket.getLocalPort();
    }
  }

  @Override
  public void close() {
    processes.forEach(Process::destroyForcibly);
  }
}
