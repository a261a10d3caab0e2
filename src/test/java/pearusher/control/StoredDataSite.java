package pearusher.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import pearusher.config.AssignerConfig;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.ListUpdateKind;
import pearusher.policy.PolicyCommands;
import pearusher.policy.ServerEntry;
import pearusher.protocol.Endpoint;
import pearusher.protocol.EndpointList;
import pearusher.protocol.Message;
import pearusher.protocol.RespException;
import pearusher.protocol.RespReader;
import pearusher.server.ExampleConfig;
import pearusher.store.FileDisk;
import pearusher.store.Store;
import pearusher.store.StoreOptions;

/**
 * An exchange on a store directory, with a fixed clock and a module that gives exactly the orders
 * of the test. It is used to write the stored test data and to read it again.
 */
final class StoredDataSite implements AutoCloseable {
  /** Small segments, so that a short scenario has several; no compaction by itself. */
  static final StoreOptions OPTIONS =
      new StoreOptions(StoreOptions.Policy.EACH, 0, 1500, 1 << 30, 2, StoreOptions.Damage.REFUSE);

  static final long TRUST_US = 600_000_000;

  /** The server with the name "sK" has the cell FIRST_CELL + K. */
  static final int FIRST_CELL = 10;

  private static final long PATIENCE_US = 30_000_000;
  private static final long ALIVE_US = 5_000_000;
  private static final double REQUESTS_PER_S = 2.5;

  /**
   * Binds each proxy that joins, and gives the orders that it is asked for at the end of a turn.
   */
  private static final class OrderedModule implements AssignmentPolicy {
    private final PolicyCommands orders;
    private final Queue<Consumer<PolicyCommands>> asked = new ArrayDeque<>();
    private final Map<Long, Integer> cells = new HashMap<>();
    private final Map<Integer, Integer> joining = new TreeMap<>();
    private final List<String> restored = new ArrayList<>();
    private int lastMark;

    OrderedModule(PolicyCommands orders) {
      this.orders = orders;
    }

    @Override
    public void onEndpointList(long now, ListUpdateKind form, List<ServerEntry> entries) {
      entries.forEach(entry -> cells.put(entry.server(), entry.cell()));
    }

    @Override
    public void onTableRestored(
        long now, int table, Map<Long, Double> weights, double[] levels, int[] retries, int mark) {
      Map<String, Double> byName = new TreeMap<>();
      weights.forEach((server, weight) -> byName.put(serverName(cells.get(server)), weight));
      restored.add(
          "table "
              + table
              + " lines "
              + byName
              + " levels "
              + Arrays.toString(levels)
              + " retries "
              + Arrays.toString(retries)
              + " last mark "
              + mark);
      lastMark = mark;
    }

    @Override
    public void onProxyJoined(long now, int proxy, int zone, double perS, boolean onlyStanding) {
      joining.put(proxy, zone);
    }

    @Override
    public void onTableHeld(long now, int proxy, int table, int lacks) {
      joining.put(proxy, table);
    }

    @Override
    public void onBatchEnd(long now) {
      joining.forEach((proxy, table) -> orders.bindProxy(proxy, table, 0));
      if (!joining.isEmpty()) {
        orders.requestAck(++lastMark, false);
      }
      joining.clear();
      // A mark among these takes the place of the one above.
      for (Consumer<PolicyCommands> one = asked.poll(); one != null; one = asked.poll()) {
        one.accept(orders);
      }
    }

    long server(int number) {
      return cells.entrySet().stream()
          .filter(entry -> entry.getValue() == FIRST_CELL + number)
          .findFirst()
          .orElseThrow()
          .getKey();
    }

    @Override
    public void onTimer(long now, long token) {}

    @Override
    public void onProxyLeft(long now, int proxy) {}

    @Override
    public void onAcknowledgement(long now, int proxy, int mark, long tookUs) {}

    @Override
    public void onLoadReport(
        long now,
        long server,
        int zone,
        long tries,
        long failed,
        long spanUs,
        long meanUs,
        float[] load,
        long ageUs) {}

    @Override
    public void onUsageReport(
        long now, int proxy, int grade, long requests, long failed, long spanUs) {}
  }

  /** A proxy's stream, which keeps what it is sent. */
  private static final class KeptStream implements ProxyStream {
    private final List<byte[]> messages = new ArrayList<>();

    @Override
    public synchronized void send(byte[] message) {
      messages.add(message);
    }

    @Override
    public void onReplaced() {}

    synchronized List<byte[]> take() {
      List<byte[]> out = List.copyOf(messages);
      messages.clear();
      return out;
    }
  }

  private final AtomicLong clock;
  private final DurablePublisher durable;
  private final Controller exchange;
  private OrderedModule module;
  private final Map<Integer, KeptStream> streams = new TreeMap<>();

  /**
   * Opens the store and takes the first turn.
   *
   * @param work an empty directory, for the configuration
   */
  StoredDataSite(Path store, Path work, long nowUs) throws Exception {
    clock = new AtomicLong(nowUs);
    AssignerConfig config = new ExampleConfig().read(work);
    FileDisk disk = new FileDisk(store);
    disk.createDirectory();
    PersistenceOptions keeping =
        new PersistenceOptions(store, OPTIONS, PATIENCE_US, ALIVE_US, TRUST_US);
    durable = new DurablePublisher(config, keeping, Store.open(disk, OPTIONS), clock::get);
    exchange =
        new Controller(
            config,
            (settings, orders) -> {
              module = new OrderedModule(orders);
              return module;
            },
            clock::get,
            failure -> {},
            durable,
            Optional.empty()) {
          @Override
          public void awaitTick() {}
        };
    exchange.connect(
        new OutboundCalls() {
          @Override
          public void watchEndpoints(boolean on, long since) {}

          @Override
          public void fetchEndpoints() {}

          @Override
          public void checkHealth(long server, String hostPort) {}
        },
        (peer, body) -> {});
    durable.start();
    exchange.start();
    settle();
  }

  static String serverName(int cell) {
    return "s" + (cell - FIRST_CELL);
  }

  /** Lets time pass, then takes a turn and waits until the disk is done with it. */
  void turn(long passedUs) throws InterruptedException {
    clock.addAndGet(passedUs);
    exchange.execute(() -> {});
    exchange.runIteration();
    settle();
  }

  private void settle() throws InterruptedException {
    while (durable.pendingIterations() > 0) {
      Thread.sleep(1);
    }
  }

  void list(long generation, boolean whole, List<Endpoint> servers) {
    exchange.onEndpointList(new EndpointList(generation, whole, servers), false);
  }

  /** Orders for the end of the next turn. */
  void ask(Consumer<PolicyCommands> orders) {
    module.asked.add(orders);
  }

  /** The module's number of a server. */
  long server(int number) {
    return module.server(number);
  }

  void join(int proxy, int zone, boolean fresh) {
    KeptStream stream = new KeptStream();
    streams.put(proxy, stream);
    exchange.onProxyJoined(stream, new Message.ProxyJoin(proxy, zone, REQUESTS_PER_S, fresh));
  }

  void answer(int proxy, int mark) {
    exchange.onAcknowledgement(streams.get(proxy), new Message.Acknowledgement(proxy, mark, 0));
  }

  /** The tables that the module was told at the start, a line each. */
  List<String> restored() {
    return module.restored;
  }

  /** What a proxy was sent since the last call: the bytes as text. */
  List<String> sent(int proxy) throws RespException {
    List<String> out = new ArrayList<>();
    for (byte[] message : streams.get(proxy).take()) {
      out.add("proxy " + proxy + ": " + shown(message));
    }
    return out.isEmpty() ? List.of("proxy " + proxy + ": nothing") : out;
  }

  /**
   * A message of less than a table byte by byte, but for the order of servers that are out or back.
   * That order, and the order of the lines of a whole table, follows the numbers that a start gives
   * the servers of an unordered map, which differ from process to process: there the servers are
   * sorted.
   */
  private static String shown(byte[] message) throws RespException {
    String text = new String(message, StandardCharsets.UTF_8).replace("\r\n", "|");
    if (!text.contains("|whole|")) {
      return String.join(
          "|",
          Arrays.stream(text.split("\\|", -1))
              .map(word -> word.contains(":") ? word : sorted(word))
              .toList());
    }
    List<String> parts = new ArrayList<>();
    try (RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES)) {
      ByteBuffer from = ByteBuffer.wrap(message);
      for (List<String> words = reader.next(from); words != null; words = reader.next(from)) {
        parts.add(String.join(" ", words.stream().map(StoredDataSite::sorted).toList()));
      }
    }
    return String.join(" ; ", parts);
  }

  private static String sorted(String word) {
    return String.join(",", Arrays.stream(word.split(",")).sorted().toList());
  }

  @Override
  public void close() throws IOException {
    durable.close();
  }
}
