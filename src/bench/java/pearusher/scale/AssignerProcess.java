package pearusher.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The process of a real assigner, which is started by the command of the deployment. Its log is in
 * a separate directory.
 */
final class AssignerProcess implements AutoCloseable {
  private static final byte[] PING = RespWriter.encode("ping");
  private static final int CONNECT_TIMEOUT_MS = 120_000;
  private static final long POLL_MS = 2;
  private static final long TERMINATION_TIMEOUT_MS = 2_000;
  private static final Pattern DROP_TOTAL =
      Pattern.compile(
          "(?:reports dropped no more: (?=\\d+ in all)"
              + "|report queue recovered: (?=\\d+ reports dropped since the start))(\\d+)");
  private static final Pattern DROP_LINE = Pattern.compile("dropped|(?<!endpoint list )rejected");
  private static final String DROPPING_TEXT = "reports dropped";

  private final Path directory;
  private final InetSocketAddress address;
  private final Process process;
  private final long startNs = System.nanoTime();
  private double readyMs = -1;
  private long readyCpuTicks = -1;
  private long readyResidentKb = -1;
  private boolean wasStopped;

  /**
   * Running processes. A shutdown hook kills them, so that none is left running if a signal ends
   * the runner.
   */
  private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

  static {
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> RUNNING.forEach(Process::destroyForcibly)));
  }

  private AssignerProcess(Path directory, InetSocketAddress address, Process process) {
    this.directory = directory;
    this.address = address;
    this.process = process;
  }

  static AssignerProcess start(
      RunCommand runCommand,
      Path directory,
      InetSocketAddress listen,
      Map<String, String> environment)
      throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", runCommand.command())
            .directory(runCommand.root().toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(directory)));
    builder.environment().putAll(environment);
    Process process = builder.start();
    RUNNING.add(process);
    CompletableFuture<Void> unused = process.onExit().thenAccept(RUNNING::remove);
    return new AssignerProcess(directory, listen, process);
  }

  private static java.io.File logFile(Path directory) {
    return directory.resolve("log").toFile();
  }

  /** Returns a loopback address with a free port. */
  static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
    }
  }

  /** Waits for the first pong. Returns false if the process ends or does not answer in time. */
  boolean awaitPong(double timeoutSeconds) throws InterruptedException {
    long endNs = System.nanoTime() + (long) (timeoutSeconds * 1e9);
    while (isAlive() && System.nanoTime() < endNs) {
      if (receivesPong(endNs)) {
        readyMs = (System.nanoTime() - startNs) / 1e6;
        try {
          readyCpuTicks = ProcessFigures.cpuTicks(pid());
          readyResidentKb = ProcessFigures.residentKb(pid());
        } catch (IOException e) {
          return false;
        }
        return true;
      }
      Thread.sleep(POLL_MS);
    }
    return false;
  }

  private boolean receivesPong(long endNs) {
    try (Socket socket = new Socket()) {
      socket.connect(address, CONNECT_TIMEOUT_MS);
      socket.setSoTimeout((int) Math.max(1, (endNs - System.nanoTime()) / 1_000_000));
      socket.getOutputStream().write(PING);
      return socket.getInputStream().read() >= 0;
    } catch (IOException e) {
      return false;
    }
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  InetSocketAddress address() {
    return address;
  }

  double readyMs() {
    return readyMs;
  }

  long readyCpuTicks() {
    return readyCpuTicks;
  }

  long readyResidentKb() {
    return readyResidentKb;
  }

  private List<String> readLog() throws IOException {
    return Files.readAllLines(directory.resolve("log"), StandardCharsets.UTF_8);
  }

  /**
   * Returns the last line of the log, which contains the cause if the process has ended
   * unexpectedly.
   */
  String lastLogLine() throws IOException {
    List<String> lines = readLog();
    return lines.isEmpty() ? "(the log is empty)" : lines.get(lines.size() - 1);
  }

  /** Returns the last warning or error in the log, or an empty string if there is none. */
  String lastWarning() throws IOException {
    return readLog().stream()
        .filter(line -> line.contains(" WARN ") || line.contains(" ERROR "))
        .reduce("", (earlier, later) -> later);
  }

  /** Returns all lines of the log about dropped or rejected input. */
  List<String> dropLines() throws IOException {
    return readLog().stream().filter(line -> DROP_LINE.matcher(line).find()).toList();
  }

  /**
   * Returns the number of dropped reports according to the log, or empty while reports are still
   * dropped.
   */
  OptionalLong reportsDropped() throws IOException {
    OptionalLong dropped = OptionalLong.of(0);
    for (String line : readLog()) {
      Matcher matcher = DROP_TOTAL.matcher(line);
      if (matcher.find()) {
        dropped = OptionalLong.of(Long.parseLong(matcher.group(1)));
      } else if (line.contains(DROPPING_TEXT)) {
        dropped = OptionalLong.empty();
      }
    }
    return dropped;
  }

  /** Returns whether the process has dropped reports according to its log. */
  boolean hasDroppedReports() throws IOException {
    return !reportsDropped().equals(OptionalLong.of(0));
  }

  /** Kills the process without a shutdown, to simulate a machine failure. */
  void kill() throws InterruptedException {
    wasStopped = true;
    process.destroyForcibly();
    process.waitFor(TERMINATION_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns whether the process has ended without being stopped by {@link #kill} or {@link #close}.
   */
  boolean hasEndedUnexpectedly() {
    return !wasStopped && !process.isAlive();
  }

  @Override
  public void close() {
    wasStopped = true;
    process.destroy();
    try {
      if (!process.waitFor(TERMINATION_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
        process.destroyForcibly();
        process.waitFor(TERMINATION_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
