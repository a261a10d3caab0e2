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
 * What a process takes before it has anything to do: an empty program and an idle assigner (with
 * docs/example.json, nothing at the address of discovery), both with the flags of
 * deploy/balancer.toml, and the assigner with flags that may lower it. Ends what it started. Run
 * from the project's root after {@code make build}.
 */
@Command(name = "floor", mixinStandardHelpOptions = true, description = "Memory of idle processes.")
final class IdleProcessBench implements Callable<Integer> {
  private static final int KIB = 1024;
  private static final int TICKS_PER_S = 100;
  private static final byte[] PING = "*1\r\n$4\r\nping\r\n".getBytes(StandardCharsets.ISO_8859_1);

  @Option(names = "--idle", description = "seconds that each is watched (${DEFAULT-VALUE})")
  private int idleSeconds = 20;

  public static void main(String[] args) {
    System.exit(new CommandLine(new IdleProcessBench()).execute(args));
  }

  @Override
  public Integer call() throws Exception {
    List<String> flags = deployedFlags();
    Path dir = Files.createTempDirectory("floor");
    Path archive = dir.resolve("classes.jsa");
    try {
      observe("empty", emptyMain(flags), dir, false);
      observe("assigner", assigner(flags), dir, true);
      observe("assigner_small_heap", assigner(changed(flags, "-Xms40m", "-Xms8m")), dir, true);
      observe("assigner_interpreted", assigner(with(flags, "-Xint")), dir, true);
      observe(
          "archive_run", assigner(with(flags, "-XX:ArchiveClassesAtExit=" + archive)), dir, true);
      observe(
          "assigner_archive", assigner(with(flags, "-XX:SharedArchiveFile=" + archive)), dir, true);
      observe(
          "assigner_archive_small_heap",
          assigner(with(changed(flags, "-Xms40m", "-Xms8m"), "-XX:SharedArchiveFile=" + archive)),
          dir,
          true);
    } finally {
      for (String name : List.of("config.json", "log", "classes.jsa")) {
        Files.deleteIfExists(dir.resolve(name));
      }
      Files.delete(dir);
    }
    return 0;
  }

  /** The virtual machine's flags of the line that starts an assigner. */
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

  private static List<String> with(List<String> flags, String more) {
    List<String> out = new ArrayList<>(flags);
    out.add(more);
    return out;
  }

  private static List<String> changed(List<String> flags, String old, String now) {
    if (!flags.contains(old)) {
      throw new IllegalStateException("the run line has no " + old);
    }
    return flags.stream().map(flag -> flag.equals(old) ? now : flag).toList();
  }

  private static List<String> emptyMain(List<String> flags) {
    List<String> out = new ArrayList<>(List.of("java"));
    out.addAll(flags);
    out.addAll(List.of("-cp", System.getProperty("java.class.path"), EmptyMain.class.getName()));
    return out;
  }

  private static List<String> assigner(List<String> flags) {
    List<String> out = new ArrayList<>(List.of("java"));
    out.addAll(flags);
    out.addAll(List.of("-jar", "target/pearusher.jar", "serve"));
    return out;
  }

  private void observe(String name, List<String> command, Path dir, boolean serves)
      throws Exception {
    int[] ports = freePorts(3);
    ProcessBuilder how =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(dir.resolve("log").toFile());
    if (serves) {
      how.environment().putAll(configure(dir, ports));
    }
    long begin = System.nanoTime();
    Process process = how.start();
    try {
      if (serves) {
        awaitPong(process, ports[0]);
        CapacityModel.line(name + ".ready", (System.nanoTime() - begin) / 1e9, "s");
      }
      TimeUnit.SECONDS.sleep(idleSeconds / 2);
      double before = processorSeconds(process);
      TimeUnit.SECONDS.sleep(idleSeconds);
      double used = processorSeconds(process) - before;
      CapacityModel.line(name + ".core", used / idleSeconds, "of_a_core");
      for (String field : List.of("VmRSS", "RssAnon", "RssFile")) {
        CapacityModel.line(name + "." + field, status(process, field) / KIB, "MiB");
      }
      CapacityModel.line(name + ".threads", status(process, "Threads"), "threads");
      CapacityModel.line(name + ".live_heap", liveBytes(process) / KIB / KIB, "MiB");
    } finally {
      process.destroy();
      if (!process.waitFor(20, TimeUnit.SECONDS)) {
        process.destroyForcibly().waitFor();
      }
    }
  }

  private static int[] freePorts(int count) throws IOException {
    List<ServerSocket> held = new ArrayList<>();
    try {
      for (int k = 0; k < count; k++) {
        held.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      }
      return held.stream().mapToInt(ServerSocket::getLocalPort).toArray();
    } finally {
      for (ServerSocket socket : held) {
        socket.close();
      }
    }
  }

  private static Map<String, String> configure(Path dir, int[] ports) throws IOException {
    String listen = "127.0.0.1:" + ports[0];
    String discovery = "127.0.0.1:" + ports[1];
    String json =
        Files.readString(Path.of("docs", "example.json"))
            .replace("127.0.0.1:8080", listen)
            .replace("127.0.0.1:8500", discovery)
            .replace("127.0.0.1:7946", "127.0.0.1:" + ports[2]);
    Path file = Files.writeString(dir.resolve("config.json"), json);
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

  /** User and system time: the 14th and 15th word of /proc/PID/stat, after the name in brackets. */
  private static double processorSeconds(Process process) throws IOException {
    String stat = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
    String[] words = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return (Double.parseDouble(words[11]) + Double.parseDouble(words[12])) / TICKS_PER_S;
  }

  private static double status(Process process, String field) throws IOException {
    return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
        .filter(line -> line.startsWith(field + ":"))
        .map(line -> line.split("\\s+")[1])
        .mapToDouble(Double::parseDouble)
        .findFirst()
        .orElseThrow();
  }

  /** Bytes of live objects, after a full collection. */
  private static double liveBytes(Process process) throws IOException {
    Process jcmd =
        new ProcessBuilder("jcmd", Long.toString(process.pid()), "GC.class_histogram").start();
    String[] lines =
        new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8).split("\n");
    String total = lines[lines.length - 1].trim();
    if (!total.toLowerCase(Locale.ROOT).startsWith("total")) {
      throw new IOException("jcmd said: " + Arrays.toString(lines));
    }
    return Double.parseDouble(total.split("\\s+")[2]);
  }
}
