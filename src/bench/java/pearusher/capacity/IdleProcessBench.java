package pearusher.capacity;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import pearusher.scale.ProcessFigures;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the CPU time and memory of idle processes: an empty program and an assigner, both with
 * the JVM flags of deploy/balancer.toml, and the assigner with flags that may reduce them. The
 * assigner runs with docs/example.json and without discovery. Stops all started processes. Must be
 * run from the project's root after {@code make build}.
 */
@Command(
    name = "floor",
    mixinStandardHelpOptions = true,
    description = "Measures the CPU time and memory of idle processes.")
final class IdleProcessBench implements Callable<Integer> {
  private static final int KIB = 1024;
  private static final byte[] PING = "*1\r\n$4\r\nping\r\n".getBytes(StandardCharsets.ISO_8859_1);

  @Option(names = "--idle", description = "seconds to measure each process (${DEFAULT-VALUE})")
  private int idleSeconds = 20;

  public static void main(String[] args) {
    System.exit(new CommandLine(new IdleProcessBench()).execute(args));
  }

  @Override
  public Integer call() throws Exception {
    List<String> flags = deployedFlags();
    Path directory = Files.createTempDirectory("floor");
    Path archive = directory.resolve("classes.jsa");
    try {
      measure("empty", emptyMainCommand(flags), directory, false);
      measure("assigner", assignerCommand(flags), directory, true);
      measure(
          "assigner_small_heap",
          assignerCommand(replace(flags, "-Xms40m", "-Xms8m")),
          directory,
          true);
      measure("assigner_interpreted", assignerCommand(append(flags, "-Xint")), directory, true);
      measure(
          "archive_run",
          assignerCommand(append(flags, "-XX:ArchiveClassesAtExit=" + archive)),
          directory,
          true);
      measure(
          "assigner_archive",
          assignerCommand(append(flags, "-XX:SharedArchiveFile=" + archive)),
          directory,
          true);
      measure(
          "assigner_archive_small_heap",
          assignerCommand(
              append(replace(flags, "-Xms40m", "-Xms8m"), "-XX:SharedArchiveFile=" + archive)),
          directory,
          true);
    } finally {
      for (String name : List.of("config.json", "log", "classes.jsa")) {
        Files.deleteIfExists(directory.resolve(name));
      }
      Files.delete(directory);
    }
    return 0;
  }

  /** Returns the JVM flags of the command that starts a deployed assigner. */
  private static List<String> deployedFlags() throws IOException {
    String run =
        Files.readAllLines(Path.of("deploy", "balancer.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    String flags = run.substring(run.indexOf(" java ") + " java ".length(), run.indexOf(" -jar "));
    return List.of(flags.split(" "));
  }

  private static List<String> append(List<String> flags, String flag) {
    List<String> appended = new ArrayList<>(flags);
    appended.add(flag);
    return appended;
  }

  private static List<String> replace(List<String> flags, String old, String replacement) {
    if (!flags.contains(old)) {
      throw new IllegalStateException(
          "expected the flag " + old + " in the run line of deploy/balancer.toml");
    }
    return flags.stream().map(flag -> flag.equals(old) ? replacement : flag).toList();
  }

  private static List<String> emptyMainCommand(List<String> flags) {
    List<String> command = new ArrayList<>(List.of("java"));
    command.addAll(flags);
    command.addAll(
        List.of("-cp", System.getProperty("java.class.path"), EmptyMain.class.getName()));
    return command;
  }

  private static List<String> assignerCommand(List<String> flags) {
    List<String> command = new ArrayList<>(List.of("java"));
    command.addAll(flags);
    command.addAll(List.of("-jar", "target/pearusher.jar", "serve"));
    return command;
  }

  private void measure(String name, List<String> command, Path directory, boolean isAssigner)
      throws Exception {
    int[] ports = freePorts(3);
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve("log").toFile());
    if (isAssigner) {
      builder.environment().putAll(configure(directory, ports));
    }
    long startNs = System.nanoTime();
    Process process = builder.start();
    try {
      if (isAssigner) {
        awaitPong(process, ports[0]);
        Figures.print(name + ".ready", (System.nanoTime() - startNs) / 1e9, "s");
      }
      TimeUnit.SECONDS.sleep(idleSeconds / 2);
      double beforeSeconds = cpuSeconds(process.pid());
      TimeUnit.SECONDS.sleep(idleSeconds);
      double usedSeconds = cpuSeconds(process.pid()) - beforeSeconds;
      Figures.print(name + ".core", usedSeconds / idleSeconds, "of_a_core");
      for (String field : List.of("VmRSS", "RssAnon", "RssFile")) {
        Figures.print(
            name + "." + field,
            1.0 * ProcessFigures.statusField(process.pid(), field) / KIB,
            "MiB");
      }
      Figures.print(
          name + ".threads",
          (double) ProcessFigures.statusField(process.pid(), "Threads"),
          "threads");
      Figures.print(name + ".live_heap", liveHeapBytes(process.pid()) / KIB / KIB, "MiB");
    } finally {
      process.destroy();
      if (!process.waitFor(20, TimeUnit.SECONDS)) {
        process.destroyForcibly().waitFor();
      }
    }
  }

  private static int[] freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int k = 0; k < count; k++) {
        sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      }
      return sockets.stream().mapToInt(ServerSocket::getLocalPort).toArray();
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
  }

  private static Map<String, String> configure(Path directory, int[] ports) throws IOException {
    String listen = "127.0.0.1:" + ports[0];
    String discovery = "127.0.0.1:" + ports[1];
    String json =
        Files.readString(Path.of("docs", "example.json"))
            .replace("127.0.0.1:8080", listen)
            .replace("127.0.0.1:8500", discovery)
            .replace("127.0.0.1:7946", "127.0.0.1:" + ports[2]);
    Path file = Files.writeString(directory.resolve("config.json"), json);
    return Map.of(
        "EDGE_NAME",
        "n0",
        "EDGE_LISTEN",
        listen,
        "EDGE_DISCOVERY",
        discovery,
        "EDGE_CONFIG",
        file.toString());
  }

  private static void awaitPong(Process process, int port)
      throws IOException, InterruptedException {
    while (process.isAlive()) {
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
        socket.getOutputStream().write(PING);
        if (socket.getInputStream().read() >= 0) {
          return;
        }
      } catch (IOException notYet) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
    }
    throw new IOException("the assigner ended before it answered a ping");
  }

  private static double cpuSeconds(long pid) throws IOException {
    return ProcessFigures.cpuTicks(pid) * ProcessFigures.TICK_MS / 1000;
  }

  private static double liveHeapBytes(long pid) throws IOException, InterruptedException {
    return ProcessFigures.liveHeapBytes(pid)
        .orElseThrow(() -> new IOException("no class histogram of process " + pid + " from jcmd"));
  }
}
