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
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One real assigner, started as the operators do, in a directory of its own; ended by its process
 * id.
 */
final class AssignerProcess implements AutoCloseable {
  private static final byte[] PING = RespWriter.message("ping");
  private static final int PONG_WAIT_MS = 120_000;
  private static final long POLL_MS = 2;
  private static final long TERM_MS = 2_000;
  private static final Pattern DROPPED = Pattern.compile("reports dropped no more: (\\d+) in all");
  private static final String DROPPING = "reports dropped";

  private final Path directory;
  private final InetSocketAddress address;
  private final Process process;
  private final long startNs = System.nanoTime();
  private double readyMs = -1;
  private long readyTicks = -1;
  private long readyRssKb = -1;
  private boolean ended;

  /** Processes that run; ended even where the runner itself is ended by a signal. */
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
      RunCommand line, Path directory, InetSocketAddress listen, Map<String, String> environment)
      throws IOException {
    ProcessBuilder how =
        new ProcessBuilder("/bin/sh", "-c", line.command())
            .directory(line.root().toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log(directory)));
    how.environment().putAll(environment);
    Process process = how.start();
    RUNNING.add(process);
    CompletableFuture<Void> unused = process.onExit().thenAccept(RUNNING::remove);
    return new AssignerProcess(directory, listen, process);
  }

  private static java.io.File log(Path directory) {
    return directory.resolve("log").toFile();
  }

  /** A port that was free a moment ago. */
  static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
    }
  }

  /** Waits for the first pong; false where the process died or said nothing in time. */
  boolean awaitPong(double mostS) throws InterruptedException {
    long endNs = System.nanoTime() + (long) (mostS * 1e9);
    while (alive() && System.nanoTime() < endNs) {
      if (pong(endNs)) {
        readyMs = (System.nanoTime() - startNs) / 1e6;
        try {
          readyTicks = ProcessFigures.ticks(pid());
          readyRssKb = ProcessFigures.residentKb(pid());
        } catch (IOException e) {
          return false;
        }
        return true;
      }
      Thread.sleep(POLL_MS);
    }
    return false;
  }

  private boolean pong(long endNs) {
    try (Socket socket = new Socket()) {
      socket.connect(address, PONG_WAIT_MS);
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

  boolean alive() {
    return process.isAlive();
  }

  InetSocketAddress address() {
    return address;
  }

  double readyMs() {
    return readyMs;
  }

  long readyTicks() {
    return readyTicks;
  }

  long readyRssKb() {
    return readyRssKb;
  }

  private List<String> log() throws IOException {
    return Files.readAllLines(directory.resolve("log"), StandardCharsets.UTF_8);
  }

  /** The last line of its log: why it died, if it did. */
  String lastLine() throws IOException {
    List<String> lines = log();
    return lines.isEmpty() ? "(the log is empty)" : lines.get(lines.size() - 1);
  }

  /**
   * What it says against taking connections or messages, the last of it; empty where it says
   * nothing.
   */
  String complaint() throws IOException {
    return log().stream()
        .filter(line -> line.contains(" WARN ") || line.contains(" ERROR "))
        .reduce("", (earlier, later) -> later);
  }

  /** Reports that it says it dropped, or -1 where it began to and has not said how many. */
  long reportsDropped() throws IOException {
    long out = 0;
    for (String line : log()) {
      Matcher matcher = DROPPED.matcher(line);
      if (matcher.find()) {
        out = Long.parseLong(matcher.group(1));
      } else if (line.contains(DROPPING)) {
        out = -1;
      }
    }
    return out;
  }

  /** Kills it outright, as a machine's death would. */
  void kill() throws InterruptedException {
    ended = true;
    process.destroyForcibly();
    process.waitFor(TERM_MS, TimeUnit.MILLISECONDS);
  }

  /** It ended though nobody ended it. */
  boolean died() {
    return !ended && !process.isAlive();
  }

  @Override
  public void close() {
    ended = true;
    process.destroy();
    try {
      if (!process.waitFor(TERM_MS, TimeUnit.MILLISECONDS)) {
        process.destroyForcibly();
        process.waitFor(TERM_MS, TimeUnit.MILLISECONDS);
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
