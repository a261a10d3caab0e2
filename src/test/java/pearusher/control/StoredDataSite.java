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
 * A controller on a store directory, with a clock of its own and a policy that gives exactly the
 * commands of the test. It writes the stored test data and reads it again.
 */
final class StoredDataSite implements AutoCloseable {
  /** Segments so small that a short scenario has several; no automatic compaction. */
  static final StoreOptions OPTIONS =
      new StoreOptions(StoreOptions.Policy.EACH, 0, 1500, 1 << 30, 2, StoreOptions.Damage.REFUSE);

  static final long MAX_TRUSTED_AGE_US = 600_000_000;

  /** The server "sN" has the cell FIRST_CELL + N. */
  static final int FIRST_CELL = 10;

  private static final long MAX_COMMIT_DELAY_US = 30_000_000;
  private static final long HEARTBEAT_US = 5_000_000;
  private static final int ALL_CLASSES = 0;
  private static final double REQUESTS_PER_SECOND = 2.5;

  /**
   * Binds each proxy that joins, to the table of its zone or the one that it holds, and gives the
   * commands of the test at the end of an iteration.
   */
  private static final class CommandedPolicy implements AssignmentPolicy {
    private final PolicyCommands commands;
    private final Queue<Consumer<PolicyCommands>> scripts = new ArrayDeque<>();
    private final Map<Long, Integer> cellByServer = new HashMap<>();
    private final Map<Integer, Integer> tableByJoiner = new TreeMap<>();
    private final List<String> restoredTables = new ArrayList<>();
    private int lastAckNumber;

    CommandedPolicy(PolicyCommands commands) {
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
        int[] retries,
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
              + Arrays.toString(retries)
              + " last mark "
              + ackNumber);
      lastAckNumber = ackNumber;
    }

    @Override
    public void onProxyJoined(
        long nowUs, int proxy, int zone, double requestsPerSecond, boolean isFresh) {
      tableByJoiner.put(proxy, zone);
    }

    @Override
    public void onTableHeld(long nowUs, int proxy, int table, int missing) {
      tableByJoiner.put(proxy, table);
    }

    @Override
    public void onBatchEnd(long nowUs) {
      tableByJoiner.forEach((proxy, table) -> commands.bindProxy(proxy, table, ALL_CLASSES));
      if (!tableByJoiner.isEmpty()) {
        commands.requestAck(++lastAckNumber, false);
      }
      tableByJoiner.clear();
      // A request of an acknowledgement among these replaces the one above.
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

  /** Records what it is sent. */
  private static final class RecordingStream implements ProxyStream {
    private final List<byte[]> messages = new ArrayList<>();

    @Override
    public synchronized void send(byte[] message) {
      messages.add(message);
    }

    @Override
    public void onReplaced() {}

    synchronized List<byte[]> take() {
      List<byte[]> taken = List.copyOf(messages);
      messages.clear();
      return taken;
    }
  }

  private final AtomicLong clock;
  private final DurablePublisher publisher;
  private final ManualController controller;
  private CommandedPolicy policy;
  private final Map<Integer, RecordingStream> streams = new TreeMap<>();

  /**
   * Opens the store and runs the first iteration.
   *
   * @param work an empty directory, for the configuration
   */
  StoredDataSite(Path store, Path work, long nowUs) throws Exception {
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
    policy = new CommandedPolicy(commands);
    return policy;
  }

  static String serverName(int cell) {
    return "s" + (cell - FIRST_CELL);
  }

  /** Lets time pass, then runs an iteration and waits until the disk is done with it. */
  void runIteration(long passedUs) throws InterruptedException {
    clock.addAndGet(passedUs);
    controller.runEmptyIteration();
    awaitDisk();
  }

  private void awaitDisk() throws InterruptedException {
    while (publisher.pendingIterations() > 0) {
      Thread.sleep(1);
    }
  }

  void list(long generation, boolean isComplete, List<Endpoint> servers) {
    controller.onEndpointList(new EndpointList(generation, isComplete, servers), false);
  }

  /** Gives commands at the end of the next iteration. */
  void command(Consumer<PolicyCommands> script) {
    policy.scripts.add(script);
  }

  /** Returns the policy's number of the server "sN". */
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

  /** Returns the tables that were restored to the policy at the start, a line each. */
  List<String> restoredTables() {
    return policy.restoredTables;
  }

  /** Returns what a proxy was sent since the last call: the bytes as text. */
  List<String> takeUpdates(int proxy) {
    List<String> updates = new ArrayList<>();
    for (byte[] message : streams.get(proxy).take()) {
      updates.add("proxy " + proxy + ": " + describe(message));
    }
    return updates.isEmpty() ? List.of("proxy " + proxy + ": nothing") : updates;
  }

  /**
   * Returns an update without a complete table byte by byte, but for the order of ejected and
   * reinstated servers. That order, and the order of the weights of a complete table, follows the
   * numbers that a start gives to the servers of an unordered map, which differ from process to
   * process: there the servers are sorted.
   */
  private static String describe(byte[] message) {
    String text = new String(message, StandardCharsets.UTF_8).replace("\r\n", "|");
    if (!text.contains("|whole|")) {
      return Arrays.stream(text.split("\\|", -1))
          .map(string -> string.contains(":") ? string : sorted(string))
          .collect(Collectors.joining("|"));
    }
    return DecodedUpdate.parts(message).stream()
        .map(StoredDataSite::sorted)
        .collect(Collectors.joining(" ; "));
  }

  private static String sorted(List<String> part) {
    return part.stream().map(StoredDataSite::sorted).collect(Collectors.joining(" "));
  }

  private static String sorted(String commaSeparated) {
    return Arrays.stream(commaSeparated.split(",")).sorted().collect(Collectors.joining(","));
  }

  @Override
  public void close() throws IOException {
    publisher.close();
  }
}
