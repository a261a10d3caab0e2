package pearusher.capacity;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the CPU time and memory of idle processes: an empty program and an assigner (with
 * docs/example.json and no discovery), both with the flags of deploy/balancer.toml, and the
 * assigner with flags that may reduce them. Stops what it started. Must be run from the project's
 * root after {@code make build}.
 */
@Command(name = "floor", mixinStandardHelpOptions = true, description = "Memory of idle processes.")
final class IdleProcessBench implements Callable<Integer> {
  private static final int KIB = 1024;
  private static final int TICKS_PER_SECOND = 100;
  private static final byte[] PING = "*1\r\n$4\r\nping\r\n".getBytes(StandardCharsets.ISO_8859_1);

  @Option(names = "--idle", description = "seconds that each is watched (${DEFAULT-VALUE})")
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
      observe("empty", emptyMainCommand(flags), directory, false);
      observe("assigner", assignerCommand(flags), directory, true);
      observe(
          "assigner_small_heap",
          assignerCommand(replace(flags, "-Xms40m", "-Xms8m")),
          directory,
          true);
      observe("assigner_interpreted", assignerCommand(append(flags, "-Xint")), directory, true);
      observe(
          "archive_run",
          assignerCommand(append(flags, "-XX:ArchiveClassesAtExit=" + archive)),
          directory,
          true);
      observe(
          "assigner_archive",
          assignerCommand(append(flags, "-XX:SharedArchiveFile=" + archive)),
          directory,
          true);
      observe(
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

  /** The JVM flags of the command that starts a deployed assigner. */
  private static List<String> deployedFlags() throws IOException {
    String run =
        Files.readAllLines(Path.of("deploy", "balancer.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    String between =
        run.substring(run.indexOf(" java ") + " java ".length(), run.indexOf(" -jar "));
    return List.of(between.split(" "));
  }

  private static List<String> append(List<String> flags, String flag) {
    List<String> appended = new ArrayList<>(flags);
    appended.add(flag);
    return appended;
  }

  private static List<String> replace(List<String> flags, String old, String replacement) {
    if (!flags.contains(old)) {
      throw new IllegalStateException("the run line has no " + old);
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

  private void observe(String name, List<String> command, Path directory, boolean isAssigner)
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
      double before = cpuSeconds(process);
      TimeUnit.SECONDS.sleep(idleSeconds);
      double used = cpuSeconds(process) - before;
      Figures.print(name + ".core", used / idleSeconds, "of_a_core");
      for (String field : List.of("VmRSS", "RssAnon", "RssFile")) {
        Figures.print(name + "." + field, statusValue(process, field) / KIB, "MiB");
      }
      Figures.print(name + ".threads", statusValue(process, "Threads"), "threads");
      Figures.print(name + ".live_heap", liveHeapBytes(process) / KIB / KIB, "MiB");
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
    throw new IOException("the assigner ended before it answered");
  }

  /** User and system time: columns 14 and 15 of /proc/PID/stat. */
  private static double cpuSeconds(Process process) throws IOException {
    String stat = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return (Double.parseDouble(fields[11]) + Double.parseDouble(fields[12])) / TICKS_PER_SECOND;
  }

  private static double statusValue(Process process, String field) throws IOException {
    return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
        .filter(line -> line.startsWith(field + ":"))
        .map(line -> line.split("\\s+")[1])
        .mapToDouble(Double::parseDouble)
        .findFirst()
        .orElseThrow();
  }

  /** Bytes of live objects, after a full collection. */
  private static double liveHeapBytes(Process process) throws IOException {
    Process jcmd =
        new ProcessBuilder("jcmd", Long.toString(process.pid()), "GC.class_histogram").start();
    String[] lines =
        new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8).split("\n");
    String total = lines[lines.length - 1].trim();
    if (!total.toLowerCase(Locale.ROOT).startsWith("total")) {
      throw new IOException("unexpected output of jcmd: " + Arrays.toString(lines));
    }
    return Double.parseDouble(total.split("\\s+")[2]);
  }
}
