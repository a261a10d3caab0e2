package pearusher.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import pearusher.cli.CommandRun;
import pearusher.policy.AdmissionLevel;
import pearusher.policy.Idempotency;
import pearusher.policy.Lifecycle;
import pearusher.protocol.Endpoint;
import pearusher.recovery.CatchUp;
import pearusher.recovery.Ledger;
import pearusher.recovery.LedgerRecovery;
import pearusher.recovery.ListedServer;
import pearusher.recovery.RecoveryConditions;
import pearusher.recovery.RecoveryTrust;
import pearusher.store.FileDisk;
import pearusher.store.Inspection;

/**
 * Writes the store directory that {@link StoredDataTest} reads, and the expected texts. A committed
 * directory must never be rewritten, because it represents the stores of the build that wrote it.
 * For a new store format, write an additional directory with
 *
 * <pre>java -cp TEST-CLASSPATH pearusher.control.StoredDataWriter EMPTY-DIRECTORY</pre>
 */
final class StoredDataWriter {
  static final String STORE = "store-v1";
  static final String EXPECTED = "store-v1-expected";
  static final long START_US = 1_700_000_000_000_000L;

  /** The end of the last iteration of the scenario. */
  static final long END_US = START_US + 60_000_000;

  /** When the stored data is read; the store is still recent enough to be trusted. */
  static final long READ_US = END_US + 10_000_000;

  static final int NORTH = 0;
  static final int SOUTH = 1;
  static final int PROXIES = 6;

  /** The names to which the stored numbers refer, as the ledger stores them. */
  static final String SETTINGS_FINGERPRINT = "n0 lookup,order north,south";

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
    Path target = Path.of(arguments[0]);
    Path store = target.resolve(STORE);
    Path work = Files.createTempDirectory("stored-data");
    long firstProcessEndUs = runFirstProcess(store, work);
    CommandRun.output(0, "store", "compact", store.toString());
    runSecondProcess(store, work, firstProcessEndUs + STEP_US);
    // The file consists of over a hundred kilobytes of zeros, and a start does not need it.
    Files.deleteIfExists(store.resolve(RESERVE));
    Path expected = Files.createDirectories(target.resolve(EXPECTED));
    Files.writeString(
        expected.resolve("inspect.txt"),
        CommandRun.output(0, "store", "inspect", store.toString()));
    Files.writeString(
        expected.resolve("verify.txt"), CommandRun.output(0, "store", "verify", store.toString()));
    Files.writeString(
        expected.resolve("dump.json"),
        CommandRun.output(0, "store", "dump", "--json", store.toString()));
    Files.write(expected.resolve("ledger.txt"), describeLedger(store));
    Path copy = work.resolve("copy");
    copy(store, copy);
    Files.write(expected.resolve("start.txt"), startAndCommand(copy, work, READ_US));
    Path backup = work.resolve("backup");
    CommandRun.output(0, "store", "backup", store.toString(), backup.toString());
    Files.write(expected.resolve("start-of-copy.txt"), start(backup, work, READ_US));
  }

  private static Endpoint server(int number, Lifecycle lifecycle) {
    return new Endpoint(
        "s" + number,
        number == 5 ? null : "127.0.0.1:" + (9000 + number),
        number % 2,
        number % 3 == 0 ? 1 : 0,
        StoredDataFixture.FIRST_CELL + number,
        lifecycle,
        1 + number / 4.0,
        number < 4 ? 0 : START_US - number * 1_000_000L);
  }

  private static List<Endpoint> servers() {
    List<Endpoint> servers = new ArrayList<>();
    for (int number = 0; number < SERVERS; number++) {
      servers.add(server(number, number == 6 ? Lifecycle.DRAINING : Lifecycle.READY));
    }
    return servers;
  }

  /**
   * Runs a process with three tables, admission levels, ejections and proxies that have
   * acknowledged different updates. It closes the store in order.
   *
   * @return the time at which the process ended, in microseconds
   */
  private static long runFirstProcess(Path store, Path work) throws Exception {
    long endUs = START_US;
    try (StoredDataFixture fixture = new StoredDataFixture(store, work, START_US)) {
      fixture.deliverList(100, true, servers());
      fixture.runIteration(STEP_US);
      fixture.command(
          commands -> {
            for (int number = 0; number < SERVERS - 2; number++) {
              commands.setWeight(NORTH, fixture.server(number), 1 + number / 8.0);
              commands.setWeight(SOUTH, fixture.server(number), 2 - number / 8.0);
            }
            commands.setWeight(SUBSET_TABLE, fixture.server(7), 1);
            commands.setAdmission(NORTH, LOOKUP_BIT, 0.75, 2);
            commands.setAdmission(SOUTH, 0, 0.5, 0);
            commands.setAdmission(SUBSET_TABLE, 0, 1, 1);
          });
      for (int proxy = 0; proxy < 4; proxy++) {
        fixture.join(proxy, proxy % 2, true);
      }
      fixture.runIteration(STEP_US);
      for (int proxy = 0; proxy < 3; proxy++) {
        fixture.acknowledge(proxy, 1);
      }
      fixture.command(
          commands -> {
            commands.eject(fixture.server(2));
            commands.eject(fixture.server(4));
            commands.requestAck(2, false);
          });
      fixture.runIteration(STEP_US);
      fixture.acknowledge(0, 2);
      fixture.command(
          commands -> {
            commands.reinstate(fixture.server(4));
            commands.setWeight(SUBSET_TABLE, fixture.server(1), 1.25);
            commands.clearTable(SUBSET_TABLE);
            commands.setWeight(SUBSET_TABLE, fixture.server(3), 0.5);
            commands.requestAck(3, false);
          });
      fixture.runIteration(STEP_US);
      endUs += 4 * STEP_US;
    }
    return endUs;
  }

  /**
   * Runs a second process: proxies rejoin, and weights, levels and the endpoint list change over
   * several segments of the log. It closes the store in order.
   */
  private static void runSecondProcess(Path store, Path work, long startUs) throws Exception {
    long nowUs = startUs;
    try (StoredDataFixture fixture = new StoredDataFixture(store, work, nowUs)) {
      for (int proxy = 0; proxy < 4; proxy++) {
        fixture.join(proxy, proxy % 2, false);
      }
      fixture.runIteration(STEP_US);
      nowUs += STEP_US;
      for (int round = 0; round < 24; round++) {
        int step = round;
        for (int proxy = 0; proxy < 3; proxy++) {
          // Each proxy stops acknowledging in a different round.
          if (round < 8 * (3 - proxy)) {
            fixture.acknowledge(proxy, 4 + round);
          }
        }
        fixture.command(
            commands -> {
              for (int change = 0; change < 3; change++) {
                long server = fixture.server((step + 2 * change) % (SERVERS - 2));
                commands.setWeight(NORTH, server, 1 + (step * 7 + change) % 16 / 16.0);
                commands.setWeight(SOUTH, server, 2 - (step * 5 + change) % 16 / 16.0);
              }
              commands.setAdmission(NORTH, 0, 1 - step / 64.0, step % 2);
              commands.requestAck(5 + step, false);
            });
        fixture.runIteration(STEP_US);
        nowUs += STEP_US;
      }
      fixture.deliverList(
          101, false, List.of(server(1, Lifecycle.DRAINING), server(7, Lifecycle.REMOVED)));
      fixture.runIteration(STEP_US);
      nowUs += STEP_US;
      fixture.command(
          commands -> {
            commands.eject(fixture.server(1));
            commands.setWeight(NORTH, fixture.server(1), 0);
            commands.setWeight(SOUTH, fixture.server(3), 0);
            commands.setAdmission(SOUTH, LOOKUP_BIT, 0.875, 1);
            // A start does not restore this retry policy for this class.
            commands.setAdmission(SOUTH, ORDER_BIT, 0.625, 2);
            commands.requestAck(29, false);
          });
      fixture.join(4, NORTH, true);
      fixture.runIteration(END_US - nowUs);
    }
  }

  /** Returns the values that a ledger reads from a store, one line per value. */
  static List<String> describeLedger(Path store) throws IOException {
    Ledger ledger =
        LedgerRecovery.recover(
            Inspection.of(new FileDisk(store)).state(),
            new RecoveryConditions(
                RecoveryTrust.FULL,
                SETTINGS_FINGERPRINT,
                READ_US,
                StoredDataFixture.MAX_TRUSTED_AGE_US,
                false));
    List<String> values = new ArrayList<>();
    values.add(
        "tables hold "
            + ledger.trust().allowsStoredTables()
            + ", epoch "
            + ledger.epoch()
            + ", turn "
            + ledger.iteration()
            + ", mark "
            + ledger.lastAckNumber()
            + ", generation "
            + ledger.generation());
    new TreeMap<>(ledger.servers()).values().forEach(server -> values.add(describe(server)));
    values.add("out " + ledger.ejectedServers().stream().sorted().toList());
    List<Idempotency> idempotencyByClass =
        List.of(Idempotency.IDEMPOTENT, Idempotency.NOT_IDEMPOTENT);
    ledger.tables().stream()
        .sorted()
        .forEach(
            number -> {
              values.add("table " + number + " lines " + new TreeMap<>(ledger.weights(number)));
              Map<Integer, AdmissionLevel> levels =
                  ledger.admissionLevels(number, idempotencyByClass);
              for (int requestClass : List.of(LOOKUP, ORDER)) {
                String level = describe(levels.get(requestClass));
                values.add("table " + number + " class " + requestClass + " " + level);
              }
            });
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      String catchUp = describe(ledger.onProxyJoined(proxy, false).orElse(null));
      values.add("proxy " + proxy + " lacks " + catchUp);
    }
    return values;
  }

  // The order of the lifecycles is part of the stored format.
  @SuppressWarnings("EnumOrdinal")
  private static String describe(ListedServer server) {
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

  private static String describe(AdmissionLevel level) {
    return level == null
        ? "no level"
        : "level " + level.shareOrRate() + " retry " + level.retryMode();
  }

  private static String describe(CatchUp catchUp) {
    if (catchUp == null) {
      return "the whole table";
    }
    List<String> levels = new ArrayList<>();
    new TreeMap<>(catchUp.admissionLevels())
        .forEach((requestClass, level) -> levels.add(requestClass + " " + describe(level)));
    return "of table "
        + catchUp.table()
        + " lines "
        + new TreeMap<>(catchUp.weights())
        + " levels "
        + levels
        + " ejections "
        + new TreeMap<>(catchUp.ejections())
        + " announced "
        + new TreeMap<>(catchUp.notifiedEjections())
        + " cost "
        + catchUp.entryCount();
  }

  /**
   * Returns the tables that a start restores to the policy and the updates sent to rejoining
   * proxies, one line each.
   */
  static List<String> start(Path store, Path work, long nowUs) throws Exception {
    try (StoredDataFixture fixture = new StoredDataFixture(store, work, nowUs)) {
      return rejoin(fixture);
    }
  }

  /**
   * Returns the lines of {@link #start}, and the updates sent after two further commands: a
   * reinstatement and a weight.
   */
  static List<String> startAndCommand(Path store, Path work, long nowUs) throws Exception {
    try (StoredDataFixture fixture = new StoredDataFixture(store, work, nowUs)) {
      List<String> lines = new ArrayList<>(rejoin(fixture));
      fixture.command(
          commands -> {
            commands.reinstate(fixture.server(2));
            commands.setWeight(NORTH, fixture.server(0), 0.25);
            commands.requestAck(1000, false);
          });
      fixture.runIteration(STEP_US);
      lines.addAll(drainUpdates(fixture));
      return lines;
    }
  }

  private static List<String> rejoin(StoredDataFixture fixture) throws Exception {
    List<String> lines = new ArrayList<>(fixture.restoredTables());
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      fixture.join(proxy, proxy % 2, false);
    }
    fixture.runIteration(STEP_US);
    lines.addAll(drainUpdates(fixture));
    return lines;
  }

  private static List<String> drainUpdates(StoredDataFixture fixture) {
    List<String> updates = new ArrayList<>();
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      updates.addAll(fixture.drainUpdates(proxy));
    }
    return updates;
  }

  /** Copies the files of a directory to a new one. */
  static void copy(Path from, Path to) throws IOException {
    Files.createDirectories(to);
    try (Stream<Path> files = Files.list(from)) {
      for (Path file : files.toList()) {
        Files.copy(file, to.resolve(file.getFileName().toString()));
      }
    }
  }
}
