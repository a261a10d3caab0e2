package standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The relays' requests, and the check of the rules by what relays and servers see. Requests are
 * sent by the tables; a server that is gone fails them, every other server answers.
 */
final class Fleet {
  private static final long STEP_MS = 10;
  private static final long RULE_SLACK_US = 300_000;
  private static final long AFTER_READY_US = 1_000_000;
  private static final int MOST_LOGGED = 40;

  private final Settings settings;
  private final Record record;
  private final Discovery discovery;
  private final Assigner assigner;
  private final List<Relay> relays;
  private final Reports reports;
  private final Channel channel;
  private final Random random = new Random(11);
  private final Map<String, Long> emptySinceUs = new HashMap<>();

  private long sent;
  private long unserved;
  private long failed;
  private long late;
  private long latestUs;
  private long longestEmptyUs;
  private final List<String> broken = new ArrayList<>();
  private long drainBreaches;
  private long emptyBreaches;

  Fleet(
      Settings settings,
      Record record,
      Discovery discovery,
      Assigner assigner,
      List<Relay> relays,
      Reports reports,
      Channel channel) {
    this.settings = settings;
    this.record = record;
    this.discovery = discovery;
    this.assigner = assigner;
    this.relays = relays;
    this.reports = reports;
    this.channel = channel;
  }

  void start() {
    Threads.start("requests", this::run);
  }

  private void run() throws InterruptedException {
    long lastUs = record.nowUs();
    long nextSummaryUs = lastUs + 1_000_000;
    while (true) {
      Thread.sleep(STEP_MS);
      long nowUs = record.nowUs();
      double seconds = (nowUs - lastUs) / 1e6;
      lastUs = nowUs;
      for (Relay relay : relays) {
        step(relay, nowUs, seconds);
      }
      if (nowUs >= nextSummaryUs) {
        nextSummaryUs += 1_000_000;
        summarise();
      }
    }
  }

  private void step(Relay relay, long nowUs, double seconds) {
    for (int k = 0; k < Settings.CLASSES.size(); k++) {
      if (random.nextDouble() < settings.requestsPerRelay / Settings.CLASSES.size() * seconds) {
        request(relay, k, nowUs);
      }
      checkEmpty(relay, k, nowUs);
    }
  }

  private void request(Relay relay, int requestClass, long nowUs) {
    if (!relay.admits(requestClass)) {
      reports.onRequest(relay.id, requestClass, false);
      return;
    }
    String picked = relay.pick(requestClass, nowUs);
    if (picked == null) {
      unserved++;
      reports.onRequest(relay.id, requestClass, true);
      return;
    }
    sent++;
    Server server = discovery.server(picked);
    boolean fails = server.lifecycle.equals(Server.REMOVED);
    failed += fails ? 1 : 0;
    relay.onTry(picked, fails, nowUs);
    reports.onTry(relay.zone, picked, fails);
    reports.onRequest(relay.id, requestClass, fails);
    checkDrain(relay, requestClass, picked, nowUs);
  }

  /** Rule on drains: no send later than the grace after the assigner was told. */
  private void checkDrain(Relay relay, int requestClass, String server, long nowUs) {
    Long toldUs = discovery.toldNotReady(server);
    if (toldUs == null || !relay.isJoined()) {
      return;
    }
    long fromUs = Math.max(toldUs, relay.joinedUs());
    fromUs = Math.max(fromUs, assigner.readyUs() + AFTER_READY_US);
    long overUs = nowUs - fromUs - settings.drainGraceUs - RULE_SLACK_US;
    if (overUs <= 0) {
      return;
    }
    late++;
    latestUs = Math.max(latestUs, overUs);
    if (++drainBreaches <= MOST_LOGGED) {
      record.line(
          "BROKEN drain: relay %d sent %s to %s, %.0f ms after the grace ended (told at %.0f ms,"
              + " joined at %.0f ms, has an ordered table: %s)",
          relay.id, Settings.CLASSES.get(requestClass), server, overUs / 1e3, toldUs / 1e3,
          relay.joinedUs() / 1e3, relay.hasOrderedTable());
    }
    note("drains are kept");
  }

  /** Rule on proxies without a task: not longer than stated while a warm open one is ready. */
  private void checkEmpty(Relay relay, int requestClass, long nowUs) {
    String key = relay.id + "/" + requestClass;
    int zone = relay.isOwnZoneOnly(requestClass) ? relay.zone : -1;
    boolean counts =
        relay.isJoined()
            && nowUs >= assigner.readyUs() + AFTER_READY_US
            && relay.usableLines(requestClass) == 0
            && discovery.hasToldWarm(zone, nowUs);
    if (!counts) {
      emptySinceUs.remove(key);
      return;
    }
    long sinceUs = emptySinceUs.computeIfAbsent(key, absent -> nowUs);
    long overUs = nowUs - sinceUs - settings.emptyForUs - RULE_SLACK_US;
    longestEmptyUs = Math.max(longestEmptyUs, nowUs - sinceUs);
    if (overUs > 0) {
      if (++emptyBreaches <= MOST_LOGGED) {
        record.line(
            "BROKEN no task: relay %d has had no line for %s for %.0f ms, and a warm one is ready",
            relay.id, Settings.CLASSES.get(requestClass), (nowUs - sinceUs) / 1e3);
      }
      note("no proxy is left without a task");
    }
  }

  private synchronized void note(String rule) {
    if (!broken.contains(rule)) {
      broken.add(rule);
    }
  }

  private void summarise() {
    record.line(
        "requests so far: %d sent, %d of them failed, %d refused for want of a server, %d sent too"
            + " late to a draining or removed server (at most %.0f ms past the grace); longest"
            + " without a line %.0f ms; %s",
        sent, failed, unserved, late, latestUs / 1e3, longestEmptyUs / 1e3, channel.summary());
  }

  /** Returns the rules that were broken. */
  synchronized List<String> broken() {
    return List.copyOf(broken);
  }

  String result() {
    return String.format(
        "%d requests sent, %d refused for want of a server, %d sent too late to a draining or"
            + " removed server (at most %.0f ms past the grace), longest without a line %.0f ms",
        sent, unserved, late, latestUs / 1e3, longestEmptyUs / 1e3);
  }
}
