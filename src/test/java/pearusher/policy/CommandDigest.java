package pearusher.policy;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Computes a digest of the commands of a policy.
 *
 * <p>Each command is written as one line with a fixed keyword and its values. The keywords are
 * defined by this class alone, so that names in the main code can change without changing a digest.
 * Log texts have a digest of their own; the digest of the commands only includes the fact that a
 * text was logged.
 */
final class CommandDigest implements PolicyCommands {
  /** A timer set by the policy. */
  record Timer(long delayUs, long token) {}

  /** Weights by table and server. */
  final Map<Integer, Map<Long, Double>> tables = new TreeMap<>();

  /** Table by bound proxy. */
  final Map<Integer, Integer> bound = new TreeMap<>();

  final Set<Long> ejected = new TreeSet<>();

  // Commands of the current batch.
  final List<Timer> timersOfBatch = new ArrayList<>();
  final List<Long> healthChecksOfBatch = new ArrayList<>();
  final Set<Integer> proxiesBoundInBatch = new TreeSet<>();
  final Map<Integer, Integer> changesInBatchByTable = new TreeMap<>();
  int ejectionChangesInBatch;
  int ackNumberOfBatch;
  boolean isWatchStartedInBatch;

  private final MessageDigest commandDigest = sha256();
  private final MessageDigest logTextDigest = sha256();
  private final Map<String, Integer> counts = new TreeMap<>();

  static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Clears the commands of the last batch and writes the time of the next one. */
  void startBatch(long nowUs) {
    timersOfBatch.clear();
    healthChecksOfBatch.clear();
    proxiesBoundInBatch.clear();
    changesInBatchByTable.clear();
    ejectionChangesInBatch = 0;
    ackNumberOfBatch = 0;
    isWatchStartedInBatch = false;
    add(commandDigest, "at " + nowUs);
  }

  String commandsDigestHex() {
    return HexFormat.of().formatHex(commandDigest.digest());
  }

  String logTextsDigestHex() {
    return HexFormat.of().formatHex(logTextDigest.digest());
  }

  /** Returns the number of commands of each kind. */
  Map<String, Integer> counts() {
    return counts;
  }

  private static void add(MessageDigest digest, String line) {
    digest.update((line + "\n").getBytes(StandardCharsets.UTF_8));
  }

  private void write(String kind, Object... values) {
    counts.merge(kind, 1, Integer::sum);
    StringBuilder text = new StringBuilder(kind);
    for (Object value : values) {
      text.append(' ').append(value);
    }
    add(commandDigest, text.toString());
  }

  private static String number(double value) {
    return Double.toHexString(value);
  }

  private static String yesOrNo(boolean value) {
    return value ? "yes" : "no";
  }

  @Override
  public void setWeight(int table, long server, double weight) {
    write("weight", table, server, number(weight));
    Map<Long, Double> weights = tables.computeIfAbsent(table, t -> new TreeMap<>());
    if (weight > 0) {
      weights.put(server, weight);
    } else {
      weights.remove(server);
    }
    changesInBatchByTable.merge(table, 1, Integer::sum);
  }

  @Override
  public void clearTable(int table) {
    write("drop-table", table);
    tables.remove(table);
  }

  @Override
  public void eject(long server) {
    setEjected(server, true);
  }

  @Override
  public void reinstate(long server) {
    setEjected(server, false);
  }

  private void setEjected(long server, boolean isEjected) {
    write("exclude", server, yesOrNo(isEjected));
    if (isEjected) {
      ejected.add(server);
    } else {
      ejected.remove(server);
    }
    ejectionChangesInBatch++;
  }

  @Override
  public void bindProxy(int proxy, int table, int classBits) {
    write("assign-table", proxy, table, classBits);
    bound.put(proxy, table);
    proxiesBoundInBatch.add(proxy);
  }

  @Override
  public void setAdmission(int table, int classBits, double level, int retry) {
    write("admission", table, classBits, number(level), retry);
    changesInBatchByTable.merge(table, 1, Integer::sum);
  }

  @Override
  public void requestAck(int number, boolean toAll) {
    write("checkpoint", number, yesOrNo(toAll));
    ackNumberOfBatch = number;
  }

  @Override
  public void watchEndpoints(boolean on) {
    write("subscribe", yesOrNo(on));
    isWatchStartedInBatch = on;
  }

  @Override
  public void fetchEndpoints() {
    write("request-list");
  }

  @Override
  public void checkHealth(long server) {
    write("health-check", server);
    healthChecksOfBatch.add(server);
  }

  @Override
  public void setTimer(long delayUs, long token) {
    write("wake-up", delayUs, token);
    timersOfBatch.add(new Timer(delayUs, token));
  }

  @Override
  public void sendToPeer(long peer, byte[] body) {
    write("peer-message", peer, HexFormat.of().formatHex(body));
  }

  @Override
  public void log(String text) {
    write("text");
    add(logTextDigest, text);
  }

  @Override
  public void confirmProxy(int proxy) {
    write("proxy-state-known", proxy);
  }

  @Override
  public void reportStaleEjectionRisk(long server, boolean all) {
    write("server-state-unknown", server, yesOrNo(all));
  }

  @Override
  public void discardServer(long server) {
    write("release-server", server);
  }
}
