package pearusher.control;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import pearusher.config.AssignerConfig;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.AttemptReport;
import pearusher.policy.ListUpdateKind;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;
import pearusher.policy.ServerEntry;
import pearusher.protocol.Endpoint;
import pearusher.protocol.EndpointList;
import pearusher.protocol.Message;
import pearusher.server.ExampleConfig;
import pearusher.store.FileDisk;
import pearusher.store.Store;
import pearusher.store.StoreOptions;

/**
 * A controller on a store directory, with a simulated clock and a policy that issues exactly the
 * commands of the test. It is used both to write the stored test data and to read it.
 */
final class StoredDataFixture implements AutoCloseable {
  /** Small segments, so that a short scenario has several, and no automatic compaction. */
  static final StoreOptions OPTIONS =
      new StoreOptions(StoreOptions.Policy.EACH, 0, 1500, 1 << 30, 2, StoreOptions.Damage.REFUSE);

  static final long MAX_TRUSTED_AGE_US = 600_000_000;

  /** The cell of server "s0"; server "sN" has the cell FIRST_CELL + N. */
  static final int FIRST_CELL = 10;

  private static final long MAX_COMMIT_DELAY_US = 30_000_000;
  private static final long HEARTBEAT_US = 5_000_000;
  private static final int ALL_CLASSES = 0;
  private static final double REQUESTS_PER_SECOND = 2.5;

  /**
   * Binds each joining proxy to the table that it retains, or else to the table of its zone, and
   * issues the commands of the test at the end of an iteration.
   */
  private static final class TestCommandPolicy implements AssignmentPolicy {
    private final PolicyCommands commands;
    private final Queue<Consumer<PolicyCommands>> scripts = new ArrayDeque<>();
    private final Map<Long, Integer> cellByServer = new HashMap<>();
    private final Map<Integer, Integer> tableByJoiningProxy = new TreeMap<>();
    private final List<String> restoredTables = new ArrayList<>();
    private int lastAckNumber;

    TestCommandPolicy(PolicyCommands commands) {
      this.commands = commands;
    }

    @Override
    public void onEndpointList(long nowUs, ListUpdateKind kind, List<ServerEntry> entries) {
      entries.forEach(entry -> cellByServer.put(entry.server(), entry.cell()));
    }

    @Override
    public void onTableRestored(
        long nowUs,
        int table,
        Map<Long, Double> weights,
        double[] levels,
        int[] retryModes,
        int ackNumber) {
      Map<String, Double> weightByName = new TreeMap<>();
      weights.forEach(
          (server, weight) -> weightByName.put(serverName(cellByServer.get(server)), weight));
      restoredTables.add(
          "table "
              + table
              + " lines "
              + weightByName
              + " levels "
              + Arrays.toString(levels)
              + " retries "
              + Arrays.toString(retryModes)
              + " last mark "
              + ackNumber);
      lastAckNumber = ackNumber;
    }

    @Override
    public void onProxyJoined(
        long nowUs, int proxy, int zone, double requestsPerSecond, boolean isFresh) {
      tableByJoiningProxy.put(proxy, zone);
    }

    @Override
    public void onProxyTableReported(long nowUs, int proxy, int table, int missingLines) {
      tableByJoiningProxy.put(proxy, table);
    }

    @Override
    public void onBatchEnd(long nowUs) {
      tableByJoiningProxy.forEach((proxy, table) -> commands.bindProxy(proxy, table, ALL_CLASSES));
      if (!tableByJoiningProxy.isEmpty()) {
        commands.requestAck(++lastAckNumber, false);
      }
      tableByJoiningProxy.clear();
      // An acknowledgement request of the test replaces the one above.
      Consumer<PolicyCommands> script = scripts.poll();
      while (script != null) {
        script.accept(commands);
        script = scripts.poll();
      }
    }

    long server(int number) {
      return cellByServer.entrySet().stream()
          .filter(entry -> entry.getValue() == FIRST_CELL + number)
          .findFirst()
          .orElseThrow()
          .getKey();
    }

    @Override
    public void onTimer(long nowUs, long token) {}

    @Override
    public void onProxyLeft(long nowUs, int proxy) {}

    @Override
    public void onAcknowledgement(long nowUs, int proxy, int number, long tookUs) {}

    @Override
    public void onLoadReport(long nowUs, AttemptReport report) {}

    @Override
    public void onUsageReport(
        long nowUs, int proxy, int requestClass, long requests, long failed, long spanUs) {}
  }

  /** Records the messages that it is sent. */
  private static final class RecordingStream implements ProxyStream {
    private final List<byte[]> messages = new ArrayList<>();

    @Override
    public synchronized void send(byte[] message) {
      messages.add(message);
    }

    @Override
    public void onReplaced() {}

    synchronized List<byte[]> drain() {
      List<byte[]> drained = List.copyOf(messages);
      messages.clear();
      return drained;
    }
  }

  private final AtomicLong clock;
  private final DurablePublisher publisher;
  private final ManualController controller;
  private TestCommandPolicy policy;
  private final Map<Integer, RecordingStream> streams = new TreeMap<>();

  /**
   * Opens the store and runs the first iteration.
   *
   * @param work an empty directory for the configuration file
   */
  StoredDataFixture(Path store, Path work, long nowUs) throws Exception {
    clock = new AtomicLong(nowUs);
    AssignerConfig config = new ExampleConfig().read(work);
    FileDisk disk = new FileDisk(store);
    disk.createDirectory();
    PersistenceOptions options =
        new PersistenceOptions(
            store, OPTIONS, MAX_COMMIT_DELAY_US, HEARTBEAT_US, MAX_TRUSTED_AGE_US);
    publisher = new DurablePublisher(config, options, Store.open(disk, OPTIONS), clock::get);
    controller = new ManualController(config, this::makePolicy, clock::get, publisher);
    publisher.start();
    controller.start();
    awaitDisk();
  }

  private AssignmentPolicy makePolicy(PolicySettings settings, PolicyCommands commands) {
    policy = new TestCommandPolicy(commands);
    return policy;
  }

  static String serverName(int cell) {
    return "s" + (cell - FIRST_CELL);
  }

  /** Advances the clock, then runs an iteration and waits until the disk has processed it. */
  void runIteration(long elapsedUs) throws InterruptedException {
    clock.addAndGet(elapsedUs);
    controller.runEmptyIteration();
    awaitDisk();
  }

  private void awaitDisk() throws InterruptedException {
    while (publisher.pendingIterations() > 0) {
      Thread.sleep(1);
    }
  }

  /** Delivers an endpoint list or a change of it. */
  void deliverList(long generation, boolean isComplete, List<Endpoint> servers) {
    controller.onEndpointList(new EndpointList(generation, isComplete, servers), false);
  }

  /** Issues commands at the end of the next iteration. */
  void command(Consumer<PolicyCommands> script) {
    policy.scripts.add(script);
  }

  /** Returns the number by which the policy refers to the server "sN". */
  long server(int number) {
    return policy.server(number);
  }

  void join(int proxy, int zone, boolean isFresh) {
    RecordingStream stream = new RecordingStream();
    streams.put(proxy, stream);
    controller.onProxyJoined(
        stream, new Message.ProxyJoin(proxy, zone, REQUESTS_PER_SECOND, isFresh));
  }

  void acknowledge(int proxy, int number) {
    controller.onAcknowledgement(streams.get(proxy), new Message.Acknowledgement(proxy, number, 0));
  }

  /** Returns the tables that the policy was passed at the start, one line per table. */
  List<String> restoredTables() {
    return policy.restoredTables;
  }

  /** Returns the updates that a proxy was sent since the last call, as text. */
  List<String> drainUpdates(int proxy) {
    List<String> updates = new ArrayList<>();
    for (byte[] message : streams.get(proxy).drain()) {
      updates.add("proxy " + proxy + ": " + describe(message));
    }
    return updates.isEmpty() ? List.of("proxy " + proxy + ": nothing") : updates;
  }

  /**
   * Returns an update as text. Servers are sorted in lists of ejected or reinstated servers and in
   * complete tables, because their order depends on the server numbers. A start assigns these
   * numbers in the order of an unordered map, which differs between processes. Updates without a
   * complete table are otherwise returned byte by byte.
   */
  private static String describe(byte[] message) {
    String text = new String(message, StandardCharsets.UTF_8).replace("\r\n", "|");
    if (!text.contains("|whole|")) {
      return Arrays.stream(text.split("\\|", -1))
          .map(string -> string.contains(":") ? string : sorted(string))
          .collect(Collectors.joining("|"));
    }
    return DecodedUpdate.parts(message).stream()
        .map(StoredDataFixture::sorted)
        .collect(Collectors.joining(" ; "));
  }

  private static String sorted(List<String> part) {
    return part.stream().map(StoredDataFixture::sorted).collect(Collectors.joining(" "));
  }

  private static String sorted(String commaSeparated) {
    return Arrays.stream(commaSeparated.split(",")).sorted().collect(Collectors.joining(","));
  }

  @Override
  public void close() throws IOException {
    publisher.close();
  }
}
