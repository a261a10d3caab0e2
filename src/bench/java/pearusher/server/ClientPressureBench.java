package pearusher.server;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import pearusher.scale.ProcessFigures;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures what clients that misbehave cost an assigner and its other clients. Starts the assigner
 * with the run line of deploy/balancer.toml for each {@link ClientPressure}, and prints its
 * resident memory, the longest wait of another client for a pong and for a table, and whether it
 * still runs. Must be run from the project's root after {@code make build}.
 */
@Command(
    name = "clients",
    mixinStandardHelpOptions = true,
    description = "Measures an assigner under clients that misbehave.")
final class ClientPressureBench implements Callable<Integer> {
  private static final int KIB = 1024;
  private static final long SAMPLE_INTERVAL_MS = 100;
  private static final int PROXIES = 64;
  private static final int READ_TIMEOUT_MS = 20_000;
  private static final long EXIT_TIMEOUT_SECONDS = 20;

  @Option(names = "--seconds", description = "duration of each pressure (${DEFAULT-VALUE})")
  private int seconds = 10;

  @Option(names = "--only", description = "names of the pressures to play; all if absent")
  private List<ClientPressure> only = List.of(ClientPressure.values());

  public static void main(String[] args) {
    System.exit(new CommandLine(new ClientPressureBench()).execute(args));
  }

  @Override
  public Integer call() throws Exception {
    for (ClientPressure pressure : only) {
      play(pressure);
    }
    return 0;
  }

  private void play(ClientPressure pressure) throws Exception {
    Path directory = Files.createTempDirectory("clients");
    int port = freePort();
    Process process = start(directory, port);
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    OtherClients others = new OtherClients(address);
    try {
      awaitPong(process, address);
      others.start();
      TimeUnit.SECONDS.sleep(1);
      Thread clients = new Thread(() -> pressure.run(address, seconds), "pressure");
      clients.setDaemon(true);
      clients.start();
      long maxResidentKb = 0;
      long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds + 2L);
      while (System.nanoTime() < endNs && process.isAlive()) {
        maxResidentKb = Math.max(maxResidentKb, ProcessFigures.statusField(process.pid(), "VmRSS"));
        TimeUnit.MILLISECONDS.sleep(SAMPLE_INTERVAL_MS);
      }
      clients.join(TimeUnit.SECONDS.toMillis(EXIT_TIMEOUT_SECONDS));
      others.stop();
      print(pressure.name().toLowerCase(Locale.ROOT), process, maxResidentKb, others);
      if (!process.isAlive()) {
        System.out.print(Files.readString(directory.resolve("log")));
      }
    } finally {
      others.stop();
      process.destroy();
      if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        process.destroyForcibly().waitFor();
      }
      Files.copy(
          directory.resolve("log"),
          Path.of("target", "clients-" + pressure + ".log"),
          StandardCopyOption.REPLACE_EXISTING);
    }
  }

  private static void print(String name, Process process, long maxResidentKb, OtherClients others)
      throws IOException {
    print(name + ".alive", process.isAlive() ? 1 : 0, "of_1");
    print(name + ".resident", 1.0 * maxResidentKb / KIB, "MiB");
    print(name + ".pongs", others.pongMs.size(), "pongs");
    print(name + ".pong_longest", longest(others.pongMs), "ms");
    print(name + ".tables", others.tableMs.size(), "tables");
    print(name + ".table_longest", longest(others.tableMs), "ms");
    print(name + ".failures", others.failures.size(), "connections");
    others.failures.stream().distinct().forEach(failure -> System.out.println("# " + failure));
  }

  private static void print(String name, double value, String unit) {
    System.out.printf(Locale.ROOT, "%s %.1f %s%n", name, value, unit);
  }

  private static double longest(Iterable<Double> values) {
    double longest = 0;
    for (double value : values) {
      longest = Math.max(longest, value);
    }
    return longest;
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private static Process start(Path directory, int port) throws IOException {
    String listen = "127.0.0.1:" + port;
    String json =
        Files.readString(Path.of("docs", "example.json"))
            .replace("127.0.0.1:8080", listen)
            .replace("127.0.0.1:8500", "127.0.0.1:1")
            .replace("127.0.0.1:7946", "127.0.0.1:0")
            .replaceFirst("\"proxyCount\": \\d+", "\"proxyCount\": " + PROXIES);
    Path config = Files.writeString(directory.resolve("config.json"), json);
    String run =
        Files.readAllLines(Path.of("deploy", "balancer.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", command)
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve("log").toFile());
    builder
        .environment()
        .putAll(
            Map.of(
                "EDGE_NAME",
                "n0",
                "EDGE_LISTEN",
                listen,
                "EDGE_DISCOVERY",
                "127.0.0.1:1",
                "EDGE_CONFIG",
                config.toString()));
    return builder.start();
  }

  private static void awaitPong(Process process, InetSocketAddress address) throws Exception {
    while (process.isAlive()) {
      try (Socket socket = connect(address)) {
        socket.getOutputStream().write(ClientPressure.message("ping"));
        if (socket.getInputStream().read() >= 0) {
          return;
        }
      } catch (IOException notYet) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
    }
    throw new IOException("the assigner ended before it answered a ping");
  }

  private static Socket connect(InetSocketAddress address) throws IOException {
    Socket socket = new Socket();
    socket.connect(address, READ_TIMEOUT_MS);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    return socket;
  }

  /** Clients that behave: one pings, one joins again and again and waits for its table. */
  private static final class OtherClients {
    private static final int PROXY = PROXIES - 1;
    private static final long INTERVAL_MS = 50;

    final ConcurrentLinkedQueue<Double> pongMs = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Double> tableMs = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
    private final InetSocketAddress address;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    OtherClients(InetSocketAddress address) {
      this.address = address;
    }

    void start() {
      repeat(pongMs, "ping");
      repeat(tableMs, "joined proxy " + PROXY + " zone north weight 1 fresh 1");
    }

    private void repeat(ConcurrentLinkedQueue<Double> waitsMs, String line) {
      Thread thread = new Thread(() -> exchangeUntilStopped(waitsMs, line), line);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }

    private void exchangeUntilStopped(ConcurrentLinkedQueue<Double> waitsMs, String line) {
      while (!stopped) {
        long startNs = System.nanoTime();
        try (Socket socket = connect(address)) {
          socket.getOutputStream().write(ClientPressure.message(line.split(" ")));
          if (socket.getInputStream().read() < 0) {
            failures.add("closed");
          } else {
            waitsMs.add((System.nanoTime() - startNs) / 1e6);
          }
          TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
        } catch (IOException e) {
          failures.add(e.toString());
        } catch (InterruptedException e) {
          return;
        }
      }
    }

    void stop() throws InterruptedException {
      stopped = true;
      for (Thread thread : threads) {
        thread.interrupt();
        thread.join(READ_TIMEOUT_MS);
      }
    }
  }
}
