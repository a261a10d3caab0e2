package pearusher.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import pearusher.config.AssignerConfig;
import pearusher.policy.FaastPolicy;
import pearusher.policy.Lifecycle;
import pearusher.protocol.Endpoint;
import pearusher.protocol.EndpointList;
import pearusher.protocol.Message;
import pearusher.server.AppliedUpdates;

/**
 * A controller with the real policy, and simulated proxies that apply and acknowledge their
 * updates. It simulates the backlog of an update channel at the rate limit of the settings,
 * independently of the policy's own accounting.
 */
final class ChurnFixture {
  private static final long START_US = 1_000_000_000_000_000L;
  private static final int ZONES = 2;
  private static final long FIRST_GENERATION = 41;

  /** Iterations of a control period before the reports arrive. */
  private static final int ITERATIONS_BEFORE_REPORTS = 18;

  /** Iterations of a control period after the reports have arrived. */
  private static final int ITERATIONS_AFTER_REPORTS = 4;

  private final AtomicLong clock = new AtomicLong(START_US);
  private final AssignerConfig config;
  private final ManualController controller;
  private final Map<Integer, ApplyingStream> streams = new HashMap<>();
  private long generation = FIRST_GENERATION;
  private double backlogLines;
  private double largestBacklog;

  ChurnFixture(AssignerConfig config) {
    this.config = config;
    controller = new ManualController(config, FaastPolicy::new, clock::get, Persistence.none());
    controller.start();
  }

  /** A stream whose proxy applies and acknowledges its updates immediately. */
  private final class ApplyingStream implements ProxyStream {
    private final int proxy;
    private final AppliedUpdates applied;

    ApplyingStream(int proxy, AppliedUpdates applied) {
      this.proxy = proxy;
      this.applied = applied;
    }

    @Override
    public void send(byte[] message) {
      backlogLines += config.settings().channel().messageOverheadLines();
      for (List<String> part : DecodedUpdate.parts(message)) {
        applied.apply(part);
        backlogLines += lines(part);
      }
      largestBacklog = Math.max(largestBacklog, backlogLines);
      if (!applied.ackNumbers.isEmpty()) {
        int number = applied.ackNumbers.get(applied.ackNumbers.size() - 1);
        applied.ackNumbers.clear();
        controller.onAcknowledgement(this, new Message.Acknowledgement(proxy, number, 0));
      }
    }

    @Override
    public void onReplaced() {}
  }

  /** Returns the number of channel lines that a part of an update uses. */
  private static int lines(List<String> part) {
    int lines = 0;
    for (int field = 1; field < part.size(); field += 2) {
      lines +=
          switch (part.get(field)) {
            case "lines", "out", "back" -> part.get(field + 1).split(",").length;
            case "level", "ticket", "whole" -> 1;
            default -> 0;
          };
    }
    return lines;
  }

  /** Creates the state of a proxy that has not applied an update. */
  AppliedUpdates newProxy() {
    return new AppliedUpdates(config.names().classes());
  }

  /** Creates a list entry; the position determines the zone and the cell. */
  Endpoint endpoint(String name, int position, Lifecycle lifecycle) {
    int zone = position % ZONES;
    return new Endpoint(name, "127.0.0.1:1", zone, 0, position, lifecycle, 1, clock.get());
  }

  /** Delivers a change of the endpoint list. */
  void deliverChange(Endpoint... endpoints) {
    controller.onEndpointList(new EndpointList(++generation, false, List.of(endpoints)), false);
  }

  /** Joins a proxy; if it is joined already, a new stream replaces its previous one. */
  void join(int proxy, AppliedUpdates applied, boolean isFresh) {
    ApplyingStream stream = new ApplyingStream(proxy, applied);
    ApplyingStream previous = streams.put(proxy, stream);
    controller.onProxyJoined(stream, new Message.ProxyJoin(proxy, proxy % ZONES, 2.5, isFresh));
    if (previous != null) {
      controller.onStreamClosed(previous, proxy);
    }
  }

  void closeStreams() {
    streams.forEach((proxy, stream) -> controller.onStreamClosed(stream, proxy));
    streams.clear();
  }

  /** Runs a control period in which proxies report attempts at some servers. */
  void runPeriod(List<String> servers) throws InterruptedException {
    long periodUs = config.settings().controlPeriodUs();
    for (int iteration = 0; iteration < ITERATIONS_BEFORE_REPORTS; iteration++) {
      advance(periodUs / 20);
      controller.runEmptyIteration();
    }
    report(servers);
    // Timers also fall due between the reports of two periods.
    for (int iteration = 0; iteration < ITERATIONS_AFTER_REPORTS; iteration++) {
      controller.runEmptyIteration();
      advance(periodUs / 40);
    }
  }

  private void report(List<String> servers) {
    for (String server : servers) {
      for (int zone = 0; zone < ZONES; zone++) {
        controller.onLoadReport(
            new Message.LoadReport(zone, server, 20, 0, 100_000, 1_000_000, new float[0]));
      }
    }
    for (int proxy : streams.keySet()) {
      controller.onUsageReport(new Message.UsageReport(proxy, 0, 15, 0, 1_000_000));
    }
  }

  private void advance(long us) {
    clock.addAndGet(us);
    double seconds = us / (double) TimeUnit.SECONDS.toMicros(1);
    double sentLines = config.settings().channel().linesPerSecond() * seconds;
    backlogLines = Math.max(0, backlogLines - sentLines);
  }

  double largestBacklog() {
    return largestBacklog;
  }

  double maxBacklogLines() {
    return config.settings().channel().maxBacklogLines();
  }

  Controller.RetainedSizes retainedSizes() {
    return controller.retainedSizes();
  }
}
