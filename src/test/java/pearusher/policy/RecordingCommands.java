package pearusher.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Records the commands of a policy, the resulting state, and the number of lines that they take on
 * the channel.
 */
final class RecordingCommands implements PolicyCommands {
  /** All commands in the order of issue, unless a test has cleared them. */
  final List<RecordedCommand> issued = new ArrayList<>();

  final List<String> logLines = new ArrayList<>();

  /** Weights by table and server. */
  final Map<Integer, Map<Long, Double>> weightsByTable = new TreeMap<>();

  final Map<Integer, Integer> tableByProxy = new TreeMap<>();
  final Set<Long> ejected = new HashSet<>();

  /** Last retry mode of any table, by the bits of the request classes. */
  final Map<Integer, Integer> retryByClass = new HashMap<>();

  /** Last admission level of any table, by the bits of the request classes. */
  final Map<Integer, Double> admissionByClass = new HashMap<>();

  /** Last delay of each timer, by token. */
  final Map<Long, Long> timerDelayUs = new TreeMap<>();

  /** Proxies that have joined and not left; the fixture maintains them. */
  final Set<Integer> joinedProxies = new HashSet<>();

  final List<Long> discardedServers = new ArrayList<>();

  /**
   * Servers that other instances may have ejected, and whether the reinstatement is sent to all
   * proxies.
   */
  final Map<Long, Boolean> staleEjectionRisks = new TreeMap<>();

  /** Lines sent since the simulated time last advanced, without the overhead of messages. */
  int linesThisBatch;

  int lastAckNumber;

  /** Returns the commands of one kind in the order of issue. */
  <T extends RecordedCommand> List<T> issued(Class<T> kind) {
    return issued.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  boolean hasIssued(Class<? extends RecordedCommand> kind) {
    return !issued(kind).isEmpty();
  }

  List<RecordedCommand> issuedSince(int firstCommand) {
    return issued.subList(firstCommand, issued.size());
  }

  /** Returns a server's share of the total weight of a table. */
  double share(int table, long server) {
    return weightsByTable.get(table).getOrDefault(server, 0.0) / totalWeight(table);
  }

  double totalWeight(int table) {
    double sum = 0;
    for (double weight : weightsByTable.getOrDefault(table, Map.of()).values()) {
      sum += weight;
    }
    return sum;
  }

  private int proxiesOf(int table) {
    return (int) tableByProxy.values().stream().filter(bound -> bound == table).count();
  }

  @Override
  public void setWeight(int table, long server, double weight) {
    issued.add(new RecordedCommand.SetWeight(table, server, weight));
    Map<Long, Double> weights = weightsByTable.computeIfAbsent(table, t -> new TreeMap<>());
    if (weight > 0) {
      weights.put(server, weight);
    } else {
      weights.remove(server);
    }
    linesThisBatch += proxiesOf(table);
  }

  @Override
  public void clearTable(int table) {
    issued.add(new RecordedCommand.ClearTable(table));
    weightsByTable.remove(table);
  }

  @Override
  public void eject(long server) {
    issued.add(new RecordedCommand.Eject(server));
    ejected.add(server);
    linesThisBatch += joinedProxies.size();
  }

  @Override
  public void reinstate(long server) {
    issued.add(new RecordedCommand.Reinstate(server));
    ejected.remove(server);
    linesThisBatch += joinedProxies.size();
  }

  @Override
  public void bindProxy(int proxy, int table, int classBits) {
    issued.add(new RecordedCommand.BindProxy(proxy, table, classBits));
    tableByProxy.put(proxy, table);
    linesThisBatch += 1 + weightsByTable.getOrDefault(table, Map.of()).size();
  }

  @Override
  public void setAdmission(int table, int classBits, double level, int retry) {
    issued.add(new RecordedCommand.SetAdmission(table, classBits, level, retry));
    retryByClass.put(classBits, retry);
    admissionByClass.put(classBits, level);
    linesThisBatch += proxiesOf(table);
  }

  @Override
  public void requestAck(int number, boolean toAll) {
    issued.add(new RecordedCommand.RequestAck(number));
    lastAckNumber = number;
  }

  @Override
  public void watchEndpoints(boolean on) {
    issued.add(new RecordedCommand.WatchEndpoints(on));
  }

  @Override
  public void fetchEndpoints() {
    issued.add(new RecordedCommand.FetchEndpoints());
  }

  @Override
  public void checkHealth(long server) {
    issued.add(new RecordedCommand.CheckHealth(server));
  }

  @Override
  public void setTimer(long delayUs, long token) {
    issued.add(new RecordedCommand.SetTimer(delayUs, token));
    timerDelayUs.put(token, delayUs);
  }

  @Override
  public void sendToPeer(long peer, byte[] body) {
    issued.add(new RecordedCommand.SendToPeer(peer));
  }

  @Override
  public void log(String text) {
    issued.add(new RecordedCommand.Log(text));
    logLines.add(text);
  }

  @Override
  public void reportStaleEjectionRisk(long server, boolean all) {
    staleEjectionRisks.put(server, all);
  }

  @Override
  public void discardServer(long server) {
    discardedServers.add(server);
  }
}
