import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A small deployment: one assigner, discovery, tasks, proxies and one collector a zone. */
final class Rig implements AutoCloseable {
  private static final class Sum {
    int tries;
    int failed;
    double goodMs;
  }

  final Record record;
  final Path root;
  final Path temp;
  final Discovery discovery;
  final Assigner assigner;
  final List<String> zones;
  final List<String> classes;
  final List<Proxy> proxies = new ArrayList<>();
  final Map<String, Task> tasks = new ConcurrentHashMap<>();
  final ExecutorService taskThreads = Executors.newCachedThreadPool(Proxy.daemonThreads());
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  /** Mean time of a message from the channel to a proxy. */
  int transitMs = 200;

  int redialMinMs = 200;
  int redialMaxMs = 600;
  int periodMs = 2000;
  int reportLateMs = 600;
  int reportsPerSecond = 120;

  /** Whether admission levels are shares; otherwise they are ignored here. */
  boolean isShare;

  /** Classes that go only to tasks in the zone of the proxy. */
  List<String> ownZoneClasses = List.of();

  private final Map<String, Map<String, Sum>> sums = new HashMap<>();
  private final Queue<String[]> reports = new ArrayDeque<>();
  private volatile boolean ends;

  Rig(Path root, Path folder, List<String> zones, List<String> classes) throws IOException {
    this.root = root;
    this.zones = zones;
    this.classes = classes;
    record = new Record(folder.resolve("record.txt"));
    temp = Files.createTempDirectory("review");
    discovery = new Discovery(record, 41);
    assigner = new Assigner(root, temp, record, freePort(), discovery.address());
    Runtime.getRuntime().addShutdownHook(new Thread(assigner::killAtExit));
    record.say("trouble: " + (trouble ? "on" : "off"));
  }

  /** Runs a case and ends with its status: 1 if the rule was broken, 0 if it held, 2 else. */
  static void exitWith(Callable<Boolean> isBroken) {
    Locale.setDefault(Locale.ROOT);
    int status;
    try {
      status = isBroken.call() ? 1 : 0;
    } catch (Throwable failure) {
      failure.printStackTrace();
      status = 2;
    }
    System.exit(status);
  }

  /** Fails the run where what the case is built on did not come about. */
  static void require(boolean condition, String text) {
    if (!condition) {
      throw new IllegalStateException("the case could not run: " + text);
    }
  }

  /**
   * Returns a free port below the range that the system gives to outgoing connections. One of those
   * could otherwise take the port before the assigner listens, or while it is down.
   */
  static int freePort() throws IOException {
    Random random = new Random();
    for (int attempt = 0; attempt < 100; attempt++) {
      int port = 12_000 + random.nextInt(18_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // The port is taken; another one is tried.
      }
    }
    throw new IOException("no free port found");
  }

  Task task(String id, String zone, int cell, long startedAtMs) throws IOException {
    Task task = new Task(id, zone, cell, startedAtMs, taskThreads);
    tasks.put(id, task);
    return task;
  }

  boolean mayServe(String requestClass, String zone, String task) {
    return !ownZoneClasses.contains(requestClass) || tasks.get(task).zone.equals(zone);
  }

  String hostPort(String task) {
    return tasks.get(task).hostPort();
  }

  long redialMs(Random random) {
    return redialMinMs + random.nextInt(redialMaxMs - redialMinMs);
  }

  /** Returns the configuration of the process. */
  String config(String known, String settings) {
    return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:"
        + assigner.port
        + "\",\"discovery\":\""
        + discovery.address()
        + "\",\"seed\":\""
        + Long.toHexString(System.nanoTime())
        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":"
        + known
        + ",\"settings\":"
        + settings
        + "}";
  }

  /** Starts the proxies and collectors. */
  void startClients() {
    proxies.forEach(Proxy::start);
    Discovery.daemon(this::gather);
    zones.forEach(zone -> Discovery.daemon(() -> collect(zone)));
  }

  synchronized void heard(String zone, String task, boolean isGood, double tookMs) {
    Sum sum =
        sums.computeIfAbsent(zone, key -> new HashMap<>()).computeIfAbsent(task, key -> new Sum());
    sum.tries++;
    sum.failed += isGood ? 0 : 1;
    sum.goodMs += isGood ? tookMs : 0;
  }

  /** Gathers the sums of each period and queues them for the collectors, after a delay. */
  private void gather() {
    while (!ends) {
      Proxy.sleep(periodMs);
      List<String[]> lines = new ArrayList<>();
      synchronized (this) {
        sums.forEach(
            (zone, byTask) -> byTask.forEach((task, sum) -> lines.add(heardLine(zone, task, sum))));
        sums.clear();
      }
      for (Proxy proxy : proxies) {
        proxy
            .takeUsage()
            .forEach(
                (requestClass, count) ->
                    lines.add(
                        new String[] {
                          proxy.zone,
                          "usage proxy "
                              + proxy.number
                              + " class "
                              + requestClass
                              + " tries "
                              + count
                              + " failed 0 span_ms "
                              + periodMs
                              + ".0"
                        }));
      }
      Discovery.daemon(
          () -> {
            Proxy.sleep(reportLateMs);
            synchronized (reports) {
              reports.addAll(lines);
            }
          });
    }
  }

  private String[] heardLine(String zone, String task, Sum sum) {
    int good = sum.tries - sum.failed;
    return new String[] {
      zone,
      String.format(
          "heard zone %s server %s tries %d failed %d mean_ms %.1f span_ms %d.0",
          zone, task, sum.tries, sum.failed, good == 0 ? 0 : sum.goodMs / good, periodMs)
    };
  }

  private String nextReport(String zone) {
    synchronized (reports) {
      String[] first = reports.peek();
      return first != null && first[0].equals(zone) ? reports.poll()[1] : null;
    }
  }

  private void collect(String zone) {
    while (!ends) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress("127.0.0.1", assigner.port), 1000);
        socket.getOutputStream().write(Resp.encode("collector zone " + zone));
        Discovery.daemon(() -> closeAtEnd(socket));
        while (!ends && !socket.isClosed()) {
          String report = nextReport(zone);
          if (report == null) {
            Proxy.sleep(2);
          } else {
            socket.getOutputStream().write(Resp.encode(report));
            record.line("collector sent: " + report);
            Proxy.sleep(1000 / reportsPerSecond);
          }
        }
      } catch (IOException e) {
        Proxy.sleep(200);
      }
    }
  }

  private static void closeAtEnd(Socket socket) {
    try (socket) {
      while (socket.getInputStream().read() >= 0) {}
    } catch (IOException e) {
      // The connection was reset, which ends it as well.
    }
  }

  @Override
  public void close() throws Exception {
    ends = true;
    proxies.forEach(proxy -> proxy.ends = true);
    assigner.terminate();
    assigner.recordLog();
    discovery.close();
    tasks.values().forEach(Task::stop);
    record.close();
    try (var files = Files.walk(temp)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
