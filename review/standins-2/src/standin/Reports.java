package standin;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The sums of what the relays met: a collector per zone passes on tries by server, and each relay
 * the requests that came to it. At most the stated number of lines a second is passed on, the
 * oldest first; the rest accumulates and follows.
 */
final class Reports {
  private static final long LATE_MS = 300;
  private static final int STEPS_PER_SECOND = 10;

  private final Settings settings;
  private final Record record;
  private final List<Relay> relays;
  private final int port;
  private final Map<String, long[]> sums = new HashMap<>();
  private final ArrayDeque<String> due = new ArrayDeque<>();
  private final Set<String> isDue = new HashSet<>();
  private final Socket[] collectors;

  Reports(Settings settings, Record record, List<Relay> relays, int port) {
    this.settings = settings;
    this.record = record;
    this.relays = relays;
    this.port = port;
    collectors = new Socket[settings.zones];
  }

  void start() {
    Threads.start("reports", this::run);
  }

  /** Counts a try of a zone's relays at a server. */
  synchronized void onTry(int zone, String server, boolean failed) {
    add("heard " + zone + " " + server, failed);
  }

  /** Counts a request that came to a relay. */
  synchronized void onRequest(int relay, int requestClass, boolean unserved) {
    add("usage " + relay + " " + requestClass, unserved);
  }

  private void add(String key, boolean failed) {
    long[] sum = sums.computeIfAbsent(key, absent -> new long[] {0, 0, record.nowUs()});
    sum[0]++;
    sum[1] += failed ? 1 : 0;
  }

  private void run() throws InterruptedException {
    long nextPeriodUs = record.nowUs() + settings.reportEveryUs;
    while (true) {
      Thread.sleep(1000 / STEPS_PER_SECOND);
      if (record.nowUs() >= nextPeriodUs + LATE_MS * 1000) {
        nextPeriodUs += settings.reportEveryUs;
        synchronized (this) {
          sums.keySet().stream().sorted().filter(isDue::add).forEach(due::add);
        }
      }
      for (int k = 0; k < 120 / STEPS_PER_SECOND; k++) {
        sendOldest();
      }
    }
  }

  private void sendOldest() {
    String key;
    long[] sum;
    synchronized (this) {
      key = due.poll();
      if (key == null) {
        return;
      }
      isDue.remove(key);
      sum = sums.remove(key);
    }
    double spanMs = Math.min(100_000, Math.max(1000, (record.nowUs() - sum[2]) / 1000.0));
    String[] words = key.split(" ");
    if (words[0].equals("heard")) {
      int zone = Integer.parseInt(words[1]);
      String text =
          String.format(
              Locale.ROOT,
              "heard zone %s server %s tries %d failed %d mean_ms %.1f span_ms %.1f",
              settings.zoneName(zone), words[2], sum[0], sum[1], 180.0 + zone, spanMs);
      sendByCollector(zone, text);
    } else {
      int relay = Integer.parseInt(words[1]);
      String text =
          String.format(
              Locale.ROOT,
              "usage proxy %d class %s tries %d failed %d span_ms %.1f",
              relay, Settings.CLASSES.get(Integer.parseInt(words[2])), sum[0], sum[1], spanMs);
      relays.get(relay).report(text);
    }
  }

  private void sendByCollector(int zone, String text) {
    try {
      if (collectors[zone] == null) {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
        socket.getOutputStream().write(Resp.encode("collector zone " + settings.zoneName(zone)));
        collectors[zone] = socket;
      }
      OutputStream out = collectors[zone].getOutputStream();
      out.write(Resp.encode(text));
    } catch (IOException e) {
      collectors[zone] = null;
    }
  }
}
