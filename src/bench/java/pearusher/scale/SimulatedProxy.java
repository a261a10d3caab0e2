package pearusher.scale;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.OptionalInt;

/**
 * A simulated proxy and its stream. It joins an assigner, applies and acknowledges updates and
 * sends usage reports. When its stream ends, it joins the next assigner. Owned by the event loop of
 * the proxies.
 */
final class SimulatedProxy implements Connection.Handler {
  private static final long RECONNECT_DELAY_NS = 200_000_000L;
  private static final byte[] UPDATE = UpdateFieldReader.ascii("update");
  private static final byte[] CLASSES = UpdateFieldReader.ascii("classes");
  private static final byte[] WHOLE = UpdateFieldReader.ascii("whole");
  private static final byte[] LINES = UpdateFieldReader.ascii("lines");
  private static final byte[] OUT = UpdateFieldReader.ascii("out");
  private static final byte[] BACK = UpdateFieldReader.ascii("back");
  private static final byte[] TICKET = UpdateFieldReader.ascii("ticket");
  private static final byte[] MORE = UpdateFieldReader.ascii("more");

  private final int number;
  private final int zone;
  private final int allClasses;
  private final ProxyWorkload workload;
  private final List<AssignerAddress> assigners;
  private final EventLoop loop;
  private final ProxyStatistics statistics;
  private final TableContents tableContents;
  private int assigner;
  private boolean isFresh = true;
  private boolean isRemoved;
  private boolean isBound;
  private boolean hasIncompleteTable;
  private int boundClasses;
  private Connection connection;
  private RespScanner scanner;
  private long joinedNs;
  private long receivedBytes;

  SimulatedProxy(
      int number,
      ProxyWorkload workload,
      List<AssignerAddress> assigners,
      EventLoop loop,
      ProxyStatistics statistics) {
    this.number = number;
    this.workload = workload;
    this.assigners = assigners;
    this.loop = loop;
    this.statistics = statistics;
    assigner = number % assigners.size();
    zone = number / assigners.size() % workload.zones();
    allClasses = (1 << workload.classes()) - 1;
    tableContents = new TableContents(workload.classes());
  }

  int number() {
    return number;
  }

  int zone() {
    return zone;
  }

  boolean isBound() {
    return isBound;
  }

  boolean isRemoved() {
    return isRemoved;
  }

  /** Returns the index of the assigner that the proxy joins or has joined. */
  int assigner() {
    return assigner;
  }

  boolean hasServer(int server) {
    return tableContents.contains(server);
  }

  /** Connects to the current assigner. */
  void connect() {
    if (loop.isStopped()) {
      return;
    }
    try {
      connection = loop.connect(assigners.get(assigner).address(), this);
    } catch (IOException e) {
      statistics.recordConnectFailure("proxy " + number + ": " + e.getMessage());
    }
  }

  @Override
  public void onOpened(Connection opened) {
    scanner = new RespScanner();
    boundClasses = 0;
    receivedBytes = 0;
    joinedNs = System.nanoTime();
    double requestsPerSecond = workload.requestsPerSecond() * workload.classes();
    send(
        TrafficCounter.Kind.PROXY_JOIN,
        ProxyMessages.joined(number, zone, requestsPerSecond, isFresh));
  }

  @Override
  public void onReceived(Connection from, ByteBuffer bytes) {
    receivedBytes += bytes.remaining();
    scanner.feed(bytes, this::handleMessage);
  }

  /** Connects to the next assigner after a delay. */
  @Override
  public void onEnded(Connection ended, IOException cause) {
    if (ended == connection && scanner != null) {
      statistics.recordStreamEnd();
    }
    unbind();
    assigner = (assigner + 1) % assigners.size();
    if (!isRemoved) {
      loop.schedule(RECONNECT_DELAY_NS, this::connect);
    }
  }

  private void send(TrafficCounter.Kind kind, byte[] message) {
    traffic().add(kind, 1, message.length);
    connection.send(message);
  }

  private TrafficCounter traffic() {
    return assigners.get(assigner).traffic();
  }

  private void handleMessage(RespScanner.View message) {
    if (message.fieldEquals(0, UPDATE)) {
      applyUpdate(message);
    }
  }

  private void applyUpdate(RespScanner.View update) {
    boolean isLastPart = update.find(MORE).isEmpty();
    traffic().add(TrafficCounter.Kind.UPDATE, isLastPart ? 1 : 0, update.sizeBytes());
    OptionalInt classesField = update.find(CLASSES);
    int classes =
        classesField.isPresent()
            ? UpdateFieldReader.readClasses(update, classesField.getAsInt())
            : allClasses;
    if (update.find(WHOLE).isPresent()) {
      startTable(classes);
    }
    update.find(LINES).ifPresent(field -> applyWeights(update, field, classes));
    update.find(OUT).ifPresent(field -> applyEjections(update, field));
    update.find(BACK).ifPresent(field -> countReinstatements(update, field));
    update.find(TICKET).ifPresent(field -> scheduleAcknowledgement(update.text(field)));
    if (isLastPart) {
      finishUpdate();
    }
  }

  /**
   * Starts complete tables of these classes. Servers missing from them are detected when the update
   * is complete.
   */
  private void startTable(int classes) {
    boundClasses |= classes;
    isFresh = false;
    hasIncompleteTable = true;
    tableContents.clear(classes);
  }

  private void applyWeights(RespScanner.View update, int field, int classes) {
    int count =
        UpdateFieldReader.readWeights(
            update, field, (server, isZero) -> setPresent(server, !isZero, classes));
    traffic().add(TrafficCounter.Kind.WEIGHT_ENTRY, count, update.length(field));
  }

  private void applyEjections(RespScanner.View update, int field) {
    int count =
        UpdateFieldReader.readServers(
            update, field, server -> setPresent(server, false, allClasses));
    traffic().add(TrafficCounter.Kind.EJECTION, count, update.length(field));
  }

  private void countReinstatements(RespScanner.View update, int field) {
    int count = UpdateFieldReader.readServers(update, field, server -> {});
    traffic().add(TrafficCounter.Kind.REINSTATEMENT, count, update.length(field));
  }

  private void setPresent(int server, boolean isPresent, int classes) {
    tableContents.set(server, isPresent, classes);
    if (!isPresent && !statistics.drains().isIdle() && !hasServer(server)) {
      statistics.drains().recordRemoval(server, number, System.nanoTime());
    }
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

  private void finishUpdate() {
    if (hasIncompleteTable) {
      hasIncompleteTable = false;
      statistics.drains().recheckTable(number, tableContents::contains, System.nanoTime());
    }
    if (boundClasses == allClasses && !isBound) {
      isBound = true;
      statistics.recordBind(System.nanoTime() - joinedNs, receivedBytes);
    }
  }

  /** Reports the requests of one period for each class if the proxy is bound. */
  void sendUsage() {
    if (!isConnected() || !isBound) {
      return;
    }
    long attempts = Math.round(workload.requestsPerSecond() * workload.periodNs() / 1e9);
    for (int k = 0; k < workload.classes(); k++) {
      send(
          TrafficCounter.Kind.USAGE_REPORT,
          ProxyMessages.usage(number, k, attempts, workload.periodNs()));
    }
  }

  /** Suspends reads and writes, to simulate a network partition. */
  void suspend() {
    if (isConnected()) {
      connection.setSuspended(true);
    }
  }

  /** Resets an open stream and reconnects at once. */
  void reconnect() {
    if (isConnected()) {
      connection.reset();
      unbind();
      connect();
    }
  }

  /** Resets the stream without reconnecting. */
  void remove() {
    isRemoved = true;
    if (connection != null) {
      connection.reset();
    }
    unbind();
  }

  /** Reconnects a removed proxy, which then has no table. */
  void restore() {
    isRemoved = false;
    isFresh = true;
    connect();
  }

  private boolean isConnected() {
    return connection != null && connection.isOpen();
  }

  private void unbind() {
    if (isBound) {
      statistics.recordUnbind();
    }
    isBound = false;
    scanner = null;
    statistics.drains().removeProxy(number);
  }
}
