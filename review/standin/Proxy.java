import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URL;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A proxy: joins the assigner, follows its updates, and sends requests to tasks by weight. It keeps
 * its tables and the tasks shut out over a change of streams, and dials again after a break.
 */
final class Proxy {
  /** One request that was sent to a task. */
  record Send(double ms, String task, String requestClass) {}

  /** One message of the assigner: when its last byte came, and its number of lines. */
  record Received(double ms, int lines) {}

  /** A moment at which a class had no line to pick, or had one again. */
  record Bare(double ms, String requestClass, boolean isBare) {}

  final int number;
  final String zone;
  private final Rig rig;
  private final double requestsPerSecond;
  private final int ejects;
  private final Random random;
  private final Map<String, Map<String, Double>> tables = new HashMap<>();
  private final Map<String, Double> levels = new HashMap<>();
  private final Set<String> out = new HashSet<>();
  private final Map<String, Integer> failuresInRow = new HashMap<>();
  private final Map<String, Double> avoidUntilMs = new HashMap<>();
  private final Map<String, Boolean> bare = new HashMap<>();
  private final ScheduledExecutorService channel =
      Executors.newSingleThreadScheduledExecutor(daemonThreads());
  private final ExecutorService senders = Executors.newCachedThreadPool(daemonThreads());
  private boolean isFresh = true;

  /** When the current stream joined, in milliseconds of the record. */
  volatile double joinedMs = Double.MAX_VALUE;

  final List<Send> sends = new ArrayList<>();
  final List<Received> received = new ArrayList<>();
  final List<Bare> bareTimes = new ArrayList<>();
  final Map<String, Integer> usage = new TreeMap<>();
  volatile boolean ends;

  Proxy(
      Rig rig, int number, String zone, double requestsPerSecond, int ejects, List<Task> standing) {
    this.rig = rig;
    this.number = number;
    this.zone = zone;
    this.requestsPerSecond = requestsPerSecond;
    this.ejects = ejects;
    random = new Random(number);
    for (String requestClass : rig.classes) {
      Map<String, Double> table = new LinkedHashMap<>();
      standing.forEach(task -> table.put(task.id, 1.0));
      tables.put(requestClass, table);
    }
  }

  static java.util.concurrent.ThreadFactory daemonThreads() {
    return action -> {
      Thread thread = new Thread(action);
      thread.setDaemon(true);
      return thread;
    };
  }

  void start() {
    Discovery.daemon(this::stream);
    Discovery.daemon(this::load);
  }

  private void stream() {
    while (!ends) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress("127.0.0.1", rig.assigner.port), 1000);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String join =
            "joined proxy "
                + number
                + " zone "
                + zone
                + " weight "
                + requestsPerSecond
                + " fresh "
                + (isFresh ? 1 : 0);
        socket.getOutputStream().write(Resp.encode(join));
        joinedMs = rig.record.nowMs();
        rig.record.line("proxy " + number + " sent: " + join);
        follow(socket, in);
      } catch (IOException | InterruptedException e) {
        if (joinedMs != Double.MAX_VALUE) {
          rig.record.line("proxy " + number + ": stream broke: " + e.getMessage());
        }
        joinedMs = Double.MAX_VALUE;
        channel.execute(() -> {});
        sleep(rig.redialMs(random));
      }
    }
  }

  private void follow(Socket socket, InputStream in) throws IOException, InterruptedException {
    List<Map<String, String>> parts = new ArrayList<>();
    while (!ends) {
      List<String> words = Resp.read(in);
      if (!words.get(0).equals("update")) {
        continue;
      }
      Map<String, String> fields = new LinkedHashMap<>();
      for (int k = 1; k + 1 < words.size(); k += 2) {
        fields.put(words.get(k), words.get(k + 1));
      }
      parts.add(fields);
      if (!"1".equals(fields.get("more"))) {
        onMessage(socket, List.copyOf(parts));
        parts.clear();
      }
    }
  }

  private void onMessage(Socket socket, List<Map<String, String>> parts) {
    double ms = rig.record.nowMs();
    double joined = joinedMs;
    rig.record.line("proxy " + number + " received: " + parts);
    synchronized (this) {
      received.add(new Received(ms, parts.stream().mapToInt(Proxy::lines).sum()));
    }
    channel.schedule(
        () -> {
          if (joinedMs == joined) {
            apply(socket, parts, ms);
          }
        },
        rig.transitMs,
        TimeUnit.MILLISECONDS);
  }

  private static int lines(Map<String, String> part) {
    int lines = part.containsKey("whole") ? 1 : 0;
    for (String list : List.of("lines", "out", "back")) {
      lines += part.containsKey(list) ? part.get(list).split(",").length : 0;
    }
    return lines + (part.containsKey("level") ? 1 : 0) + (part.containsKey("ticket") ? 1 : 0);
  }

  private void apply(Socket socket, List<Map<String, String>> parts, double receivedMs) {
    synchronized (this) {
      parts.forEach(this::applyPart);
      isFresh = false;
      noteBare();
    }
    for (Map<String, String> part : parts) {
      if (part.containsKey("ticket")) {
        String answer =
            String.format(
                "applied proxy %d mark %s took_ms %.1f",
                number, part.get("ticket"), rig.record.nowMs() - receivedMs);
        try {
          socket.getOutputStream().write(Resp.encode(answer));
          rig.record.line("proxy " + number + " sent: " + answer);
        } catch (IOException e) {
          rig.record.line("proxy " + number + " could not answer: " + e.getMessage());
        }
      }
    }
  }

  private void applyPart(Map<String, String> part) {
    String classes = part.get("classes");
    List<String> meant = classes == null ? rig.classes : List.of(classes.split("\\+"));
    for (String requestClass : meant) {
      Map<String, Double> table = tables.get(requestClass);
      if (part.containsKey("whole")) {
        table.clear();
        levels.remove(requestClass);
      }
      if (part.containsKey("lines")) {
        for (String line : part.get("lines").split(",")) {
          int colon = line.lastIndexOf(':');
          double weight = Double.parseDouble(line.substring(colon + 1));
          if (weight > 0) {
            table.put(line.substring(0, colon), weight);
          } else {
            table.remove(line.substring(0, colon));
          }
        }
      }
      if (part.containsKey("level")) {
        levels.put(requestClass, Double.parseDouble(part.get("level")));
      }
    }
    if (part.containsKey("out")) {
      out.addAll(List.of(part.get("out").split(",")));
    }
    if (part.containsKey("back")) {
      List.of(part.get("back").split(",")).forEach(out::remove);
    }
  }

  private Map<String, Double> open(String requestClass) {
    Map<String, Double> lines = new LinkedHashMap<>();
    tables
        .get(requestClass)
        .forEach(
            (task, weight) -> {
              if (!out.contains(task) && rig.mayServe(requestClass, zone, task)) {
                lines.put(task, weight);
              }
            });
    return lines;
  }

  /** Notes for each class whether a line is left to pick. */
  private void noteBare() {
    for (String requestClass : rig.classes) {
      boolean isRefused = levels.getOrDefault(requestClass, 1.0) == 0;
      boolean isBare = !isRefused && open(requestClass).isEmpty();
      if (isBare != bare.getOrDefault(requestClass, false)) {
        bare.put(requestClass, isBare);
        bareTimes.add(new Bare(rig.record.nowMs(), requestClass, isBare));
        rig.record.line(
            "proxy "
                + number
                + (isBare ? " has no line for " : " has a line again for ")
                + requestClass);
      }
    }
  }

  synchronized List<Send> sends() {
    return List.copyOf(sends);
  }

  synchronized List<Received> received() {
    return List.copyOf(received);
  }

  synchronized List<Bare> bareTimes() {
    return List.copyOf(bareTimes);
  }

  private void load() {
    while (!ends) {
      sleep((long) (-Math.log(1 - random.nextDouble()) * 1000 / requestsPerSecond));
      String requestClass = rig.classes.get(random.nextInt(rig.classes.size()));
      String task = pick(requestClass);
      if (task != null) {
        senders.execute(() -> send(requestClass, task));
      }
    }
  }

  private synchronized String pick(String requestClass) {
    usage.merge(requestClass, 1, Integer::sum);
    noteBare();
    Map<String, Double> lines = open(requestClass);
    double level = levels.getOrDefault(requestClass, 1.0);
    if (rig.isShare && random.nextDouble() >= level) {
      return null;
    }
    Map<String, Double> trusted = new LinkedHashMap<>(lines);
    trusted.keySet().removeIf(task -> avoidUntilMs.getOrDefault(task, 0.0) > rig.record.nowMs());
    if (!trusted.isEmpty()) {
      lines = trusted;
    }
    double left = lines.values().stream().mapToDouble(weight -> weight).sum() * random.nextDouble();
    String picked = null;
    for (Map.Entry<String, Double> line : lines.entrySet()) {
      picked = line.getKey();
      left -= line.getValue();
      if (left < 0) {
        break;
      }
    }
    if (picked != null) {
      sends.add(new Send(rig.record.nowMs(), picked, requestClass));
    }
    return picked;
  }

  private void send(String requestClass, String task) {
    double startMs = rig.record.nowMs();
    boolean isGood = false;
    try {
      String hostPort = rig.hostPort(task);
      URL url = new URL("http://" + hostPort + "/work");
      HttpURLConnection call = (HttpURLConnection) url.openConnection();
      call.setConnectTimeout(250);
      call.setReadTimeout(2500);
      isGood = call.getResponseCode() == 200;
      call.getInputStream().readAllBytes();
    } catch (IOException e) {
      isGood = false;
    }
    double tookMs = rig.record.nowMs() - startMs;
    rig.record.line(
        "proxy "
            + number
            + " "
            + requestClass
            + " to "
            + task
            + (isGood ? " answered" : " failed"));
    rig.heard(zone, task, isGood, tookMs);
    synchronized (this) {
      int failures = isGood ? 0 : failuresInRow.getOrDefault(task, 0) + 1;
      if (ejects > 0 && failures >= ejects) {
        avoidUntilMs.put(task, rig.record.nowMs() + 2500);
        failures = 0;
      }
      failuresInRow.put(task, failures);
    }
  }

  /** Returns and clears the requests of a class since the last call. */
  synchronized Map<String, Integer> takeUsage() {
    Map<String, Integer> taken = new TreeMap<>(usage);
    usage.clear();
    return taken;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
