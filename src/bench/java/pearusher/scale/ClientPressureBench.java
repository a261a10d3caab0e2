package pearusher.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
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
  private static final int PROXIES = 64;
  private static final long SAMPLE_INTERVAL_MS = 100;
  private static final double START_TIMEOUT_SECONDS = 20;
  private static final long END_TIMEOUT_MS = 20_000;

  /** Time in which the assigner works off what the pressure left. */
  private static final int AFTERWARDS_SECONDS = 2;

  @Option(names = "--seconds", description = "duration of each pressure (${DEFAULT-VALUE})")
  private int seconds = 6;

  @Option(names = "--only", description = "names of the pressures to play; all if absent")
  private List<ClientPressure> only = List.of(ClientPressure.values());

  public static void main(String[] args) {
    System.exit(new CommandLine(new ClientPressureBench()).execute(args));
  }

  @Override
  public Integer call() throws Exception {
    RunCommand runCommand = RunCommand.fromBuild(Path.of("."), null, "");
    for (ClientPressure pressure : only) {
      play(pressure, runCommand);
    }
    return 0;
  }

  private void play(ClientPressure pressure, RunCommand runCommand) throws Exception {
    Path directory = Files.createTempDirectory("clients");
    InetSocketAddress address = AssignerProcess.freeAddress();
    try (AssignerProcess process =
            AssignerProcess.start(runCommand, directory, address, configure(directory, address));
        RepeatedExchange pongs = new RepeatedExchange(address, "ping");
        RepeatedExchange tables = new RepeatedExchange(address, joinOf(PROXIES - 1))) {
      if (!process.awaitPong(START_TIMEOUT_SECONDS)) {
        throw new IOException("the assigner did not start: " + process.lastLogLine());
      }
      pongs.start();
      tables.start();
      TimeUnit.SECONDS.sleep(1);
      long maxResidentKb = maxResidentKbUnder(pressure, process);
      pongs.stop();
      tables.stop();
      String name = pressure.name().toLowerCase(Locale.ROOT);
      print(name + ".alive", process.isAlive() ? 1 : 0, "of_1");
      print(name + ".resident", 1.0 * maxResidentKb / KIB, "MiB");
      print(name + ".pong", pongs);
      print(name + ".table", tables);
      if (!process.isAlive()) {
        System.out.println("# " + process.lastLogLine());
      }
    } finally {
      Files.move(
          directory.resolve("log"),
          Path.of("target", "clients-" + pressure + ".log"),
          StandardCopyOption.REPLACE_EXISTING);
    }
  }

  private long maxResidentKbUnder(ClientPressure pressure, AssignerProcess process)
      throws IOException, InterruptedException {
    Thread clients = new Thread(() -> pressure.run(process.address(), seconds), "pressure");
    clients.setDaemon(true);
    clients.start();
    long maxResidentKb = 0;
    long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds + AFTERWARDS_SECONDS);
    while (System.nanoTime() < endNs && process.isAlive()) {
      maxResidentKb = Math.max(maxResidentKb, ProcessFigures.residentKb(process.pid()));
      TimeUnit.MILLISECONDS.sleep(SAMPLE_INTERVAL_MS);
    }
    clients.join(END_TIMEOUT_MS);
    return maxResidentKb;
  }

  private static void print(String name, RepeatedExchange exchange) {
    print(name + "s", exchange.count(), "answers");
    print(name + "_longest", exchange.longestMs(), "ms");
    print(name + "_failures", exchange.failures().size(), "connections");
    exchange.failures().stream().distinct().forEach(cause -> System.out.println("# " + cause));
  }

  private static void print(String name, double value, String unit) {
    System.out.printf(Locale.ROOT, "%s %.1f %s%n", name, value, unit);
  }

  private static String joinOf(int proxy) {
    return "joined proxy " + proxy + " zone north weight 1 fresh 1";
  }

  private static Map<String, String> configure(Path directory, InetSocketAddress address)
      throws IOException {
    String listen = "127.0.0.1:" + address.getPort();
    String discovery = "127.0.0.1:1";
    String json =
        Files.readString(Path.of("docs", "example.json"))
            .replace("127.0.0.1:8080", listen)
            .replace("127.0.0.1:8500", discovery)
            .replace("127.0.0.1:7946", "127.0.0.1:0")
            .replaceFirst("\"proxyCount\": \\d+", "\"proxyCount\": " + PROXIES);
    Path config = Files.writeString(directory.resolve("config.json"), json);
    return Map.of(
        "EDGE_NAME",
        "n0",
        "EDGE_LISTEN",
        listen,
        "EDGE_DISCOVERY",
        discovery,
        "EDGE_CONFIG",
        config.toString());
  }
}
