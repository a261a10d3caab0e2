package pearusher.scale;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * A simulated proxy that moves between assigners and decodes updates strictly. To move, it closes
 * its stream and joins the next assigner with the tables that it has. It acknowledges updates and
 * sends usage reports. Owned by the event loop of the proxies. Of constant size.
 */
final class MovingProxy implements Connection.Handler {
  private static final long RECONNECT_DELAY_NS = 200_000_000L;

  /** An assigner that proxies may join, and the counts of messages that they received from it. */
  record Target(AssignerAddress address, AssignerTally tally) {}

  private final int number;
  private final int zone;
  private final ProxyWorkload workload;
  private final List<Target> targets;
  private final EventLoop loop;
  private int target;
  private boolean isFresh = true;
  private Connection connection;
  private RespScanner scanner;
  private StreamTables tables;

  MovingProxy(int number, ProxyWorkload workload, List<Target> targets, EventLoop loop) {
    this.number = number;
    this.workload = workload;
    this.targets = targets;
    this.loop = loop;
    target = number % targets.size();
    zone = number / targets.size() % workload.zones();
    tables = new StreamTables(workload.classes());
  }

  int number() {
    return number;
  }

  /**
   * Returns whether the assigner that the proxy joined last has sent a complete table for each
   * class.
   */
  boolean isBound() {
    return tables.isBound();
  }

  /** Joins the current assigner. */
  void join() {
    if (loop.isStopped()) {
      return;
    }
    tables = new StreamTables(workload.classes());
    scanner = new RespScanner();
    try {
      connection = loop.connect(targets.get(target).address().address(), this);
    } catch (IOException e) {
      throw new IllegalStateException(
          "proxy " + number + " cannot connect to " + targets.get(target).address().address(), e);
    }
  }

  /** Closes the stream and joins the next assigner with the current tables. */
  void move() {
    connection.close();
    target = (target + 1) % targets.size();
    join();
  }

  @Override
  public void onOpened(Connection opened) {
    tally().recordJoin();
    double requestsPerSecond = workload.requestsPerSecond() * workload.classes();
    send(
        TrafficCounter.Kind.PROXY_JOIN,
        ProxyMessages.joined(number, zone, requestsPerSecond, isFresh));
  }

  @Override
  public void onReceived(Connection from, ByteBuffer bytes) {
    try {
      scanner.feed(bytes, this::handleMessage);
    } catch (IllegalStateException e) {
      // After malformed bytes the start of the next message is unknown.
      tally().recordUndecodable(e.getMessage());
      connection.close();
      loop.schedule(RECONNECT_DELAY_NS, this::join);
    }
  }

  private void handleMessage(RespScanner.View message) {
    traffic().add(TrafficCounter.Kind.UPDATE, 1, message.sizeBytes());
    tally().recordMessage();
    try {
      apply(UpdateMessage.decode(message, workload.classes()));
    } catch (UpdateMessage.UndecodableException e) {
      tally().recordUndecodable(e.getMessage());
    }
  }

  private void apply(UpdateMessage update) {
    if (update.isCompleteTable()) {
      tally().recordCompleteTable(tables.recordCompleteTable(update.classes()));
      isFresh = false;
    } else if (update.hasWeights() && !tables.expectsWeights(update.classes())) {
      tally().recordUnexpected("weights before a complete table");
    }
    update.mark().ifPresent(this::scheduleAcknowledgement);
  }

  private void scheduleAcknowledgement(String mark) {
    Connection updated = connection;
    loop.schedule(
        workload.applyDelayNs(),
        () -> {
          if (updated == connection && updated.isOpen()) {
            send(
                TrafficCounter.Kind.ACKNOWLEDGEMENT,
                ProxyMessages.applied(number, mark, workload.applyDelayNs()));
          }
        });
  }

  /** Reports the requests of one period for each class if the proxy is bound. */
  void sendUsage() {
    if (connection == null || !connection.isOpen() || !isBound()) {
      return;
    }
    long attempts = Math.round(workload.requestsPerSecond() * workload.periodNs() / 1e9);
    for (int k = 0; k < workload.classes(); k++) {
      send(
          TrafficCounter.Kind.USAGE_REPORT,
          ProxyMessages.usage(number, k, attempts, workload.periodNs()));
    }
  }

  /** Rejoins the current assigner after a delay. */
  @Override
  public void onEnded(Connection ended, IOException cause) {
    if (ended == connection) {
      tally().recordStreamEnd();
      tables = new StreamTables(workload.classes());
      loop.schedule(RECONNECT_DELAY_NS, this::join);
    }
  }

  private void send(TrafficCounter.Kind kind, byte[] message) {
    traffic().add(kind, 1, message.length);
    connection.send(message);
  }

  private TrafficCounter traffic() {
    return targets.get(target).address().traffic();
  }

  private AssignerTally tally() {
    return targets.get(target).tally();
  }
}
