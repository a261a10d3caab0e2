package pearusher.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pearusher.control.UpdateFault.Kind;
import pearusher.server.AppliedUpdates;

/**
 * Checks the updates that proxies receive from several successive processes of an assigner. It
 * reports updates that cannot be applied, repeat acknowledged settings, have an acknowledgement
 * number that does not increase, leave a draining server usable, or set an unsafe retry policy. The
 * checker depends on the protocol, but not on the store. Callers on several threads must
 * synchronize on it.
 */
public final class UpdateChecker {
  /** The highest retry policy number of the protocol with which no request runs twice. */
  private static final int MAX_SAFE_RETRY_POLICY = 1;

  /** The state of one proxy. */
  private static final class CheckedProxy {
    private final AppliedUpdates applied;

    /** Settings that the proxy has acknowledged, in the form of {@link ReceivedPart#settings}. */
    private final Map<String, String> acknowledged = new HashMap<>();

    /** Settings that the proxy has received since its last acknowledgement. */
    private final Map<String, String> unacknowledged = new HashMap<>();

    private long acknowledgedUs = Long.MAX_VALUE;
    private boolean hasReceivedCompleteTable;
    private int lastAckNumber;

    /** Whether the stream has not received an update yet. */
    private boolean isJoining;

    /** Whether the proxy had the weight of a server when its stream started. */
    private boolean hadWeightsAtJoin;

    /** Received parts of an update whose last part has not arrived. */
    private final List<ReceivedPart> parts = new ArrayList<>();

    CheckedProxy(AppliedUpdates applied) {
      this.applied = applied;
    }

    boolean hasWeights() {
      return applied.tables.values().stream().anyMatch(table -> !table.weights.isEmpty());
    }
  }

  private final List<String> classes;
  private final Set<String> nonIdempotentClasses;
  private final long slackUs;
  private final Map<Integer, CheckedProxy> proxies = new TreeMap<>();
  private final Map<String, Long> drainingSinceUs = new HashMap<>();
  private final List<UpdateFault> faults = new ArrayList<>();
  private int updates;
  private int completeTablesAtRejoin;
  private int deltasAtJoin;

  /**
   * @param slackUs the maximum time in microseconds until an acknowledgement or a list change takes
   *     effect
   */
  public UpdateChecker(List<String> classes, Set<String> nonIdempotentClasses, long slackUs) {
    this.classes = classes;
    this.nonIdempotentClasses = nonIdempotentClasses;
    this.slackUs = slackUs;
  }

  private CheckedProxy proxy(int number) {
    return proxies.computeIfAbsent(number, n -> new CheckedProxy(new AppliedUpdates(classes)));
  }

  /**
   * Handles the start of a stream.
   *
   * @param killedUs when the assigner of the proxy's previous stream was killed
   */
  public void onJoined(int number, boolean isFresh, long killedUs) {
    CheckedProxy proxy = proxy(number);
    proxy.isJoining = true;
    proxy.hadWeightsAtJoin = proxy.hasWeights();
    proxy.parts.clear();
    // Settings not acknowledged on the previous stream will not be acknowledged on a later one.
    proxy.unacknowledged.clear();
    if (isFresh || proxy.acknowledgedUs > killedUs - slackUs) {
      // The assigner may not have stored these acknowledgements, so it may repeat the settings.
      proxy.acknowledged.clear();
    }
  }

  /** Handles the end of a stream; discards the parts of an incomplete update. */
  public void onStreamClosed(int number) {
    proxy(number).parts.clear();
  }

  /** Handles a change of the lifecycle of a server in the endpoint list. */
  public void onListed(String server, boolean isDraining, long nowUs) {
    if (isDraining) {
      drainingSinceUs.putIfAbsent(server, nowUs);
    } else {
      drainingSinceUs.remove(server);
    }
  }

  /** Handles the acknowledgement of all settings that the proxy has received. */
  public void onAcknowledged(int number, long nowUs) {
    CheckedProxy proxy = proxy(number);
    proxy.acknowledged.putAll(proxy.unacknowledged);
    proxy.unacknowledged.clear();
    proxy.acknowledgedUs = nowUs;
  }

  /** Handles a part of an update that the proxy received, given as the strings of its message. */
  public void onPart(int number, List<String> strings, long nowUs) {
    CheckedProxy proxy = proxy(number);
    proxy.parts.add(ReceivedPart.of(strings, classes));
    proxy.applied.apply(strings);
    if (!ReceivedPart.hasMore(strings)) {
      onUpdate(number, proxy, nowUs);
    }
  }

  private void onUpdate(int number, CheckedProxy proxy, long nowUs) {
    updates++;
    Map<String, String> settings = new HashMap<>();
    for (ReceivedPart part : proxy.parts) {
      settings.putAll(part.settings());
      checkRetries(number, part);
      checkAckNumber(number, proxy, part);
    }
    boolean isComplete = proxy.parts.stream().anyMatch(ReceivedPart::isComplete);
    if (proxy.isJoining) {
      onFirstUpdate(number, proxy, settings, isComplete);
    }
    proxy.isJoining = false;
    proxy.hasReceivedCompleteTable |= isComplete;
    proxy.unacknowledged.putAll(settings);
    proxy.acknowledgedUs = Long.MAX_VALUE;
    proxy.parts.clear();
    proxy.applied.faults.forEach(
        fault -> faults.add(UpdateFault.ofProxy(Kind.NOT_APPLICABLE, number, fault)));
    proxy.applied.faults.clear();
    checkDraining(number, nowUs);
  }

  /** Checks the first update of a stream for settings that the proxy had acknowledged. */
  private void onFirstUpdate(
      int number, CheckedProxy proxy, Map<String, String> settings, boolean isComplete) {
    if (!isComplete) {
      deltasAtJoin++;
    }
    if (proxy.acknowledged.isEmpty()) {
      return;
    }
    if (isComplete) {
      completeTablesAtRejoin++;
      // A proxy that joins while its table is empty is bound once the table has a server again. It
      // is sent the complete table, which repeats no setting. Other proxies are sent only the
      // entries that they are missing.
      if (proxy.hasReceivedCompleteTable && proxy.hadWeightsAtJoin) {
        add(Kind.UNNEEDED_COMPLETE_TABLE, number, "complete table though it had acknowledged it");
      }
    }
    settings.forEach(
        (subject, setting) -> {
          if (setting.equals(proxy.acknowledged.get(subject))) {
            add(Kind.REPEATED, number, "sent twice: " + subject + " " + setting);
          }
        });
  }

  private void checkRetries(int number, ReceivedPart part) {
    if (part.retryPolicy() > MAX_SAFE_RETRY_POLICY
        && !part.classesAmong(nonIdempotentClasses).isEmpty()) {
      add(Kind.UNSAFE_RETRY, number, "a retry that may run twice: " + part);
    }
  }

  private void checkAckNumber(int number, CheckedProxy proxy, ReceivedPart part) {
    if (part.ackNumber().isEmpty()) {
      return;
    }
    int ackNumber = part.ackNumber().getAsInt();
    if (ackNumber <= proxy.lastAckNumber) {
      String description = "acknowledgement " + ackNumber + " after " + proxy.lastAckNumber;
      add(Kind.ACK_NUMBER, number, description);
    }
    proxy.lastAckNumber = ackNumber;
  }

  /**
   * Checks that the proxy cannot send requests to a server that has been draining beyond the slack.
   */
  public void checkDraining(int number, long nowUs) {
    CheckedProxy proxy = proxy(number);
    if (!proxy.parts.isEmpty()) {
      return;
    }
    for (String requestClass : classes) {
      for (String server : proxy.applied.usableWeights(requestClass).keySet()) {
        Long sinceUs = drainingSinceUs.get(server);
        if (sinceUs != null && nowUs - sinceUs > slackUs) {
          add(Kind.DRAINING_SERVER, number, "may send to " + server + ", which is draining");
        }
      }
    }
  }

  private void add(Kind kind, int number, String description) {
    faults.add(UpdateFault.ofProxy(kind, number, description));
  }

  /** Returns the faults found so far; the list may be modified. */
  public List<UpdateFault> faults() {
    return faults;
  }

  /** Returns the updates that a proxy has applied. */
  public AppliedUpdates applied(int number) {
    return proxy(number).applied;
  }

  /** Returns the number of updates of which all parts were received. */
  public synchronized int updates() {
    return updates;
  }

  /** Returns how often a rejoining proxy with acknowledged settings was sent a complete table. */
  public int completeTablesAtRejoin() {
    return completeTablesAtRejoin;
  }

  /** Returns how often the first update of a stream was not a complete table. */
  public int deltasAtJoin() {
    return deltasAtJoin;
  }

  /** Returns whether a proxy has received settings since its last acknowledgement. */
  boolean hasUnacknowledged(int number) {
    return !proxy(number).unacknowledged.isEmpty();
  }

  /** Returns the last acknowledgement number that a proxy received; 0 if it received none. */
  int lastAckNumber(int number) {
    return proxy(number).lastAckNumber;
  }
}
