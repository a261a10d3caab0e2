package standin;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A relay (proxy): follows the tables that the assigner writes on its stream, keeps them when the
 * stream ends, and dials again. Its monitor guards its state.
 */
final class Relay {
  private static final int FAILURES_TO_AVOID = 3;
  private static final long AVOID_US = 4_000_000;

  final int id;
  final int zone;
  private final Settings settings;
  private final Record record;
  private final Channel channel;
  private final Random random;
  private final boolean isLogged;

  private final List<Map<String, Double>> tables = new ArrayList<>();
  private final Set<String> shutOut = new HashSet<>();
  private final Map<String, Integer> failures = new HashMap<>();
  private final Map<String, Long> avoidedUntilUs = new HashMap<>();
  private final double[] levels;

  private boolean fresh = true;
  private volatile boolean ended;
  private Socket socket;
  private OutputStream out;
  private boolean joined;
  private long joinedUs;
  private long streams;

  Relay(int id, int zone, Settings settings, Record record, Channel channel) {
    this.id = id;
    this.zone = zone;
    this.settings = settings;
    this.record = record;
    this.channel = channel;
    random = new Random(7919L * id + 17);
    isLogged = id < 3;
    levels = new double[Settings.CLASSES.size()];
  }

  /** Starts the relay with a standing table drawn from the list, of its own site if three are. */
  synchronized void start(List<Server> listed, int port) {
    List<Server> own = new ArrayList<>(listed.stream().filter(s -> s.zone == zone).toList());
    List<Server> from = own.size() >= 3 ? own : new ArrayList<>(listed);
    java.util.Collections.shuffle(from, random);
    Map<String, Double> standing = new HashMap<>();
    from.stream().limit(5).forEach(server -> standing.put(server.id, 1.0));
    tables.clear();
    for (int k = 0; k < Settings.CLASSES.size(); k++) {
      tables.add(new HashMap<>(standing));
      levels[k] = 1;
    }
    shutOut.clear();
    fresh = true;
    record.line("relay %d starts in %s with %s", id, settings.zoneName(zone), standing.keySet());
    Threads.start("relay-" + id, () -> dialUntilEnded(port));
  }

  void end() {
    ended = true;
    closeSocket();
  }

  private synchronized void closeSocket() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // It is closed.
    }
  }

  private void dialUntilEnded(int port) throws InterruptedException {
    while (!ended) {
      try {
        followStream(port);
      } catch (IOException e) {
        // The stream has ended or could not be established.
      }
      synchronized (this) {
        joined = false;
      }
      if (!ended) {
        Thread.sleep(140 + random.nextInt(500));
      }
    }
  }

  private void followStream(int port) throws IOException {
    Socket dialled = new Socket();
    dialled.connect(new InetSocketAddress("127.0.0.1", port), 1000);
    dialled.setTcpNoDelay(true);
    long stream;
    synchronized (this) {
      socket = dialled;
      out = dialled.getOutputStream();
      stream = ++streams;
      String text =
          "joined proxy " + id + " zone " + settings.zoneName(zone) + " weight 5.0 fresh "
              + (fresh ? 1 : 0);
      out.write(Resp.encode(text));
      joined = true;
      joinedUs = record.nowUs();
      record.line("relay %d sent: %s", id, text);
    }
    DataInputStream in = new DataInputStream(new BufferedInputStream(dialled.getInputStream()));
    List<Map<String, String>> parts = new ArrayList<>();
    try {
      while (true) {
        List<String> words = Resp.read(in);
        if (!words.get(0).equals("update")) {
          continue;
        }
        if (isLogged) {
          String text = String.join(" ", words);
          record.line("relay %d got: %s", id, text.substring(0, Math.min(400, text.length())));
        }
        Map<String, String> fields = new HashMap<>();
        for (int k = 1; k + 1 < words.size(); k += 2) {
          fields.put(words.get(k), words.get(k + 1));
        }
        parts.add(fields);
        if (!fields.containsKey("more")) {
          List<Map<String, String>> message = List.copyOf(parts);
          parts.clear();
          long orderedUs = record.nowUs();
          channel.enter(lines(message), () -> deliver(stream, message, orderedUs));
        }
      }
    } finally {
      dialled.close();
    }
  }

  private static int lines(List<Map<String, String>> message) {
    int lines = 0;
    for (Map<String, String> fields : message) {
      for (Map.Entry<String, String> field : fields.entrySet()) {
        lines +=
            switch (field.getKey()) {
              case "lines", "out", "back" -> field.getValue().split(",").length;
              case "level", "ticket", "whole" -> 1;
              default -> 0;
            };
      }
    }
    return lines;
  }

  private synchronized void deliver(
      long stream, List<Map<String, String>> message, long orderedUs) {
    if (stream != streams || !joined) {
      return;
    }
    String mark = null;
    for (Map<String, String> fields : message) {
      apply(fields);
      mark = fields.getOrDefault("ticket", mark);
    }
    if (mark != null) {
      try {
        String text =
            String.format(
                java.util.Locale.ROOT,
                "applied proxy %d mark %s took_ms %.1f",
                id, mark, (record.nowUs() - orderedUs) / 1000.0);
        out.write(Resp.encode(text));
      } catch (IOException e) {
        // The reading thread sees the end of the stream.
      }
    }
  }

  private void apply(Map<String, String> fields) {
    String named = fields.get("classes");
    for (int k = 0; k < Settings.CLASSES.size(); k++) {
      boolean meant =
          named == null || List.of(named.split("\\+")).contains(Settings.CLASSES.get(k));
      if (meant) {
        applyTable(k, fields);
      }
    }
    for (String server : list(fields.get("out"))) {
      shutOut.add(server);
    }
    for (String server : list(fields.get("back"))) {
      shutOut.remove(server);
    }
  }

  private void applyTable(int requestClass, Map<String, String> fields) {
    Map<String, Double> table = tables.get(requestClass);
    if (fields.containsKey("whole")) {
      table.clear();
      levels[requestClass] = 1;
    }
    for (String line : list(fields.get("lines"))) {
      int colon = line.lastIndexOf(':');
      double weight = Double.parseDouble(line.substring(colon + 1));
      if (weight > 0) {
        table.put(line.substring(0, colon), weight);
      } else {
        table.remove(line.substring(0, colon));
      }
      fresh = false;
    }
    if (fields.containsKey("level")) {
      levels[requestClass] = Double.parseDouble(fields.get("level"));
    }
  }

  private static String[] list(String text) {
    return text == null || text.isEmpty() ? new String[0] : text.split(",");
  }

  /** Sends a message along the stream, if there is one. */
  synchronized void report(String text) {
    if (joined) {
      try {
        out.write(Resp.encode(text));
      } catch (IOException e) {
        // The reading thread sees the end of the stream.
      }
    }
  }

  synchronized boolean isJoined() {
    return joined;
  }

  synchronized long joinedUs() {
    return joinedUs;
  }

  /** Returns whether the relay has a table that was ordered. */
  synchronized boolean hasOrderedTable() {
    return !fresh;
  }

  synchronized boolean lists(String server) {
    return tables.get(0).containsKey(server);
  }

  synchronized int usableLines(int requestClass) {
    return usable(requestClass).size();
  }

  /** Returns whether the class may go to a server of this zone only. */
  boolean isOwnZoneOnly(int requestClass) {
    return requestClass == 1 && settings.secondClassOwnZone;
  }

  private Map<String, Double> usable(int requestClass) {
    Map<String, Double> usable = new HashMap<>();
    tables
        .get(requestClass)
        .forEach(
            (server, weight) -> {
              boolean open = !isOwnZoneOnly(requestClass) || Main.zoneOf(server) == zone;
              if (open && !shutOut.contains(server)) {
                usable.put(server, weight);
              }
            });
    return usable;
  }

  /** Picks a server for a request by weight; null if there is none to pick. */
  synchronized String pick(int requestClass, long nowUs) {
    Map<String, Double> usable = usable(requestClass);
    Map<String, Double> preferred = new HashMap<>(usable);
    preferred.keySet().removeIf(server -> avoidedUntilUs.getOrDefault(server, 0L) > nowUs);
    Map<String, Double> from = preferred.isEmpty() ? usable : preferred;
    double left = random.nextDouble() * from.values().stream().mapToDouble(w -> w).sum();
    String picked = null;
    for (Map.Entry<String, Double> entry : from.entrySet()) {
      picked = entry.getKey();
      left -= entry.getValue();
      if (left <= 0) {
        break;
      }
    }
    return picked;
  }

  synchronized boolean admits(int requestClass) {
    return random.nextDouble() < levels[requestClass];
  }

  /** Notes how a try ended; the relay keeps away from a server after some failures in a row. */
  synchronized void onTry(String server, boolean failed, long nowUs) {
    int count = failed ? failures.merge(server, 1, Integer::sum) : 0;
    if (!failed) {
      failures.remove(server);
    } else if (count >= FAILURES_TO_AVOID) {
      failures.remove(server);
      avoidedUntilUs.put(server, nowUs + AVOID_US);
    }
  }
}
