package pearusher.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pearusher.cli.CommandRun;
import pearusher.policy.AdmissionLevel;
import pearusher.policy.Idempotency;
import pearusher.policy.Lifecycle;
import pearusher.protocol.Endpoint;
import pearusher.protocol.RespException;
import pearusher.recovery.CatchUp;
import pearusher.recovery.Ledger;
import pearusher.recovery.LedgerRecovery;
import pearusher.recovery.ListedServer;
import pearusher.recovery.RecoveryConditions;
import pearusher.recovery.RecoveryTrust;
import pearusher.store.FileDisk;
import pearusher.store.Inspection;

/**
 * Writes the store directory that {@link StoredDataTest} reads, and the texts that it expects. A
 * directory that was committed is not written again: it stands for the stores of the program that
 * wrote it. A new format of the store gets a directory of its own, with
 *
 * <pre>java -cp TEST-CLASSPATH pearusher.serve.StoredDataWriter EMPTY-DIRECTORY</pre>
 */
final class StoredDataWriter {
  static final String STORE = "store-v1";
  static final String EXPECTED = "store-v1-expected";
  static final long START_US = 1_700_000_000_000_000L;

  /** When the last turn of the scenario ends. */
  static final long END_US = START_US + 60_000_000;

  /** When the stored data is read: within the time for which a store is believed. */
  static final long READ_US = END_US + 10_000_000;

  static final int NORTH = 0;
  static final int SOUTH = 1;
  static final int PROXIES = 6;

  /** What gives the stored numbers their meaning, as the ledger has it. */
  static final String NAMES = "n0 lookup,order north,south";

  private static final int SERVERS = 8;
  private static final int LOOKUP = 0;
  private static final int ORDER = 1;
  private static final int LOOKUP_BIT = 1;
  private static final int ORDER_BIT = 2;
  private static final int SUBSET_TABLE = 2;
  private static final long STEP_US = 500_000;
  private static final String RESERVE = "reserve";

  private StoredDataWriter() {}

  public static void main(String[] arguments) throws Exception {
    Path to = Path.of(arguments[0]);
    Path store = to.resolve(STORE);
    Path work = Files.createTempDirectory("stored-data");
    long endOfFirst = firstLife(store, work);
    CommandRun.output(0, "store", "compact", store.toString());
    secondLife(store, work, endOfFirst + STEP_US);
    // It holds over a hundred kilobytes of zeros, and a start does without it.
    Files.deleteIfExists(store.resolve(RESERVE));
    Path expected = Files.createDirectories(to.resolve(EXPECTED));
    Files.writeString(
        expected.resolve("inspect.txt"),
        CommandRun.output(0, "store", "inspect", store.toString()));
    Files.writeString(
        expected.resolve("verify.txt"), CommandRun.output(0, "store", "verify", store.toString()));
    Files.writeString(
        expected.resolve("dump.json"),
        CommandRun.output(0, "store", "dump", "--json", store.toString()));
    Files.write(expected.resolve("ledger.txt"), ledger(store));
    Path copy = work.resolve("copy");
    copy(store, copy);
    Files.write(expected.resolve("start.txt"), startAndOrders(copy, work, READ_US));
    Path backup = work.resolve("backup");
    CommandRun.output(0, "store", "backup", store.toString(), backup.toString());
    Files.write(expected.resolve("start-of-copy.txt"), start(backup, work, READ_US));
  }

  private static Endpoint server(int number, Lifecycle state) {
    return new Endpoint(
        "s" + number,
        number == 5 ? null : "127.0.0.1:" + (9000 + number),
        number % 2,
        number % 3 == 0 ? 1 : 0,
        StoredDataSite.FIRST_CELL + number,
        state,
        1 + number / 4.0,
        number < 4 ? 0 : START_US - number * 1_000_000L);
  }

  private static List<Endpoint> servers() {
    List<Endpoint> out = new ArrayList<>();
    for (int k = 0; k < SERVERS; k++) {
      out.add(server(k, k == 6 ? Lifecycle.DRAINING : Lifecycle.READY));
    }
    return out;
  }

  /**
   * Three tables, levels, ejections, proxies that have answered for different turns; an orderly
   * end.
   */
  private static long firstLife(Path store, Path work) throws Exception {
    long passed = 0;
    try (StoredDataSite site = new StoredDataSite(store, work, START_US)) {
      site.list(100, true, servers());
      site.turn(STEP_US);
      site.ask(
          orders -> {
            for (int k = 0; k < SERVERS - 2; k++) {
              orders.setWeight(NORTH, site.server(k), 1 + k / 8.0);
              orders.setWeight(SOUTH, site.server(k), 2 - k / 8.0);
            }
            orders.setWeight(SUBSET_TABLE, site.server(7), 1);
            orders.setAdmission(NORTH, LOOKUP_BIT, 0.75, 2);
            orders.setAdmission(SOUTH, 0, 0.5, 0);
            orders.setAdmission(SUBSET_TABLE, 0, 1, 1);
          });
      for (int proxy = 0; proxy < 4; proxy++) {
        site.join(proxy, proxy % 2, true);
      }
      site.turn(STEP_US);
      for (int proxy = 0; proxy < 3; proxy++) {
        site.answer(proxy, 1);
      }
      site.ask(
          orders -> {
            orders.eject(site.server(2));
            orders.eject(site.server(4));
            orders.requestAck(2, false);
          });
      site.turn(STEP_US);
      site.answer(0, 2);
      site.ask(
          orders -> {
            orders.reinstate(site.server(4));
            orders.setWeight(SUBSET_TABLE, site.server(1), 1.25);
            orders.clearTable(SUBSET_TABLE);
            orders.setWeight(SUBSET_TABLE, site.server(3), 0.5);
            orders.requestAck(3, false);
          });
      site.turn(STEP_US);
      passed = 4 * STEP_US;
    }
    return START_US + passed;
  }

  /**
   * Proxies rejoin; lines, levels and the list move over several segments of the log; an orderly
   * end.
   */
  private static void secondLife(Path store, Path work, long nowUs) throws Exception {
    long now = nowUs;
    try (StoredDataSite site = new StoredDataSite(store, work, now)) {
      for (int proxy = 0; proxy < 4; proxy++) {
        site.join(proxy, proxy % 2, false);
      }
      site.turn(STEP_US);
      now += STEP_US;
      for (int round = 0; round < 24; round++) {
        int step = round;
        for (int proxy = 0; proxy < 3; proxy++) {
          // Each proxy stops answering at another turn.
          if (round < 8 * (3 - proxy)) {
            site.answer(proxy, 4 + round);
          }
        }
        site.ask(
            orders -> {
              for (int k = 0; k < 3; k++) {
                int server = (step + 2 * k) % (SERVERS - 2);
                orders.setWeight(NORTH, site.server(server), 1 + (step * 7 + k) % 16 / 16.0);
                orders.setWeight(SOUTH, site.server(server), 2 - (step * 5 + k) % 16 / 16.0);
              }
              orders.setAdmission(NORTH, 0, 1 - step / 64.0, step % 2);
              orders.requestAck(5 + step, false);
            });
        site.turn(STEP_US);
        now += STEP_US;
      }
      site.list(101, false, List.of(server(1, Lifecycle.DRAINING), server(7, Lifecycle.REMOVED)));
      site.turn(STEP_US);
      now += STEP_US;
      site.ask(
          orders -> {
            orders.eject(site.server(1));
            orders.setWeight(NORTH, site.server(1), 0);
            orders.setWeight(SOUTH, site.server(3), 0);
            orders.setAdmission(SOUTH, LOOKUP_BIT, 0.875, 1);
            // A way to repeat that a start does not take over for this class.
            orders.setAdmission(SOUTH, ORDER_BIT, 0.625, 2);
            orders.requestAck(29, false);
          });
      site.join(4, NORTH, true);
      site.turn(END_US - now);
    }
  }

  /** What a ledger reads from a store, a line for each value. */
  static List<String> ledger(Path store) throws IOException {
    Ledger ledger =
        LedgerRecovery.recover(
            Inspection.of(new FileDisk(store)).state(),
            new RecoveryConditions(
                RecoveryTrust.FULL, NAMES, READ_US, StoredDataSite.TRUST_US, false));
    List<String> out = new ArrayList<>();
    out.add(
        "tables hold "
            + ledger.trust().trustsTables()
            + ", epoch "
            + ledger.epoch()
            + ", turn "
            + ledger.iteration()
            + ", mark "
            + ledger.lastAckNumber()
            + ", generation "
            + ledger.generation());
    new TreeMap<>(ledger.servers()).values().forEach(server -> out.add(shown(server)));
    out.add("out " + ledger.ejectedServers().stream().sorted().toList());
    List<Idempotency> effects = List.of(Idempotency.IDEMPOTENT, Idempotency.NOT_IDEMPOTENT);
    ledger.tables().stream()
        .sorted()
        .forEach(
            number -> {
              out.add("table " + number + " lines " + new TreeMap<>(ledger.weights(number)));
              Map<Integer, AdmissionLevel> levels = ledger.admissionLevels(number, effects);
              for (int grade : List.of(LOOKUP, ORDER)) {
                out.add("table " + number + " class " + grade + " " + shown(levels.get(grade)));
              }
            });
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      out.add(
          "proxy " + proxy + " lacks " + shown(ledger.onProxyJoined(proxy, false).orElse(null)));
    }
    return out;
  }

  // The order of the states is part of the stored format.
  @SuppressWarnings("EnumOrdinal")
  private static String shown(ListedServer server) {
    return "server "
        + server.name()
        + " at "
        + server.hostPort()
        + " zone "
        + server.zone()
        + " kind "
        + server.machineType()
        + " cell "
        + server.cell()
        + " state "
        + server.lifecycle().ordinal()
        + " weight "
        + server.weight()
        + " started "
        + server.startedUs();
  }

  private static String shown(AdmissionLevel level) {
    return level == null
        ? "no level"
        : "level " + level.probabilityOrRate() + " retry " + level.retry();
  }

  private static String shown(CatchUp lacks) {
    if (lacks == null) {
      return "the whole table";
    }
    List<String> levels = new ArrayList<>();
    new TreeMap<>(lacks.admissionLevels())
        .forEach((grade, level) -> levels.add(grade + " " + shown(level)));
    return "of table "
        + lacks.table()
        + " lines "
        + new TreeMap<>(lacks.weights())
        + " levels "
        + levels
        + " ejections "
        + new TreeMap<>(lacks.ejections())
        + " announced "
        + new TreeMap<>(lacks.announced())
        + " cost "
        + lacks.cost();
  }

  /**
   * What an exchange hands its module at a start, and tells the proxies that rejoin, a line each.
   */
  static List<String> start(Path store, Path work, long nowUs) throws Exception {
    try (StoredDataSite site = new StoredDataSite(store, work, nowUs)) {
      return rejoin(site);
    }
  }

  /** The same, and what proxies are told of orders that go on: a server is back, a line moves. */
  static List<String> startAndOrders(Path store, Path work, long nowUs) throws Exception {
    try (StoredDataSite site = new StoredDataSite(store, work, nowUs)) {
      List<String> out = new ArrayList<>(rejoin(site));
      site.ask(
          orders -> {
            orders.reinstate(site.server(2));
            orders.setWeight(NORTH, site.server(0), 0.25);
            orders.requestAck(1000, false);
          });
      site.turn(STEP_US);
      out.addAll(sent(site));
      return out;
    }
  }

  private static List<String> rejoin(StoredDataSite site) throws Exception {
    List<String> out = new ArrayList<>(site.restored());
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      site.join(proxy, proxy % 2, false);
    }
    site.turn(STEP_US);
    out.addAll(sent(site));
    return out;
  }

  private static List<String> sent(StoredDataSite site) throws RespException {
    List<String> out = new ArrayList<>();
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      out.addAll(site.sent(proxy));
    }
    return out;
  }

  /** Copies the files of a directory to one that is made. */
  static void copy(Path from, Path to) throws IOException {
    Files.createDirectories(to);
    try (var files = Files.list(from)) {
      for (Path one : files.toList()) {
        Files.copy(one, to.resolve(one.getFileName().toString()));
      }
    }
  }
}
