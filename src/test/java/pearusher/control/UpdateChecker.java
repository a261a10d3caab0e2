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
 * Reads the updates that proxies receive over several lives of an assigner, and finds those that
 * must not be: sent again after the proxy had acknowledged them, incomplete, with an
 * acknowledgement number that does not rise, for a server that is draining, or with an unsafe retry
 * policy. It knows the protocol and nothing of the store. Callers on several threads synchronize on
 * it.
 */
public final class UpdateChecker {
  /** The highest retry policy, as it is on the wire, under which no request runs twice. */
  private static final int MAX_SAFE_RETRY_POLICY = 1;

  /** What is known of one proxy. */
  private static final class CheckedProxy {
    private final AppliedUpdates applied;

    /** Settings that the proxy has acknowledged, as in {@link ReceivedPart#settings}. */
    private final Map<String, String> acknowledged = new HashMap<>();

    /** Settings that it has received since. */
    private final Map<String, String> unacknowledged = new HashMap<>();

    private long acknowledgedUs = Long.MAX_VALUE;
    private boolean hasReceivedCompleteTable;
    private int lastAckNumber;

    /** Whether its stream has received no update yet. */
    private boolean isJoining;

    /** Whether it had the weight of some server as its stream began. */
    private boolean hadWeightsAtJoin;

    /** Parts of an update that is not complete. */
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
   * @param slackUs how long an acknowledgement or a change of the list may be under way
   */
  public UpdateChecker(List<String> classes, Set<String> nonIdempotentClasses, long slackUs) {
    this.classes = classes;
    this.nonIdempotentClasses = nonIdempotentClasses;
    this.slackUs = slackUs;
  }

  private CheckedProxy proxy(int number) {
    return proxies.computeIfAbsent(number, n -> new CheckedProxy(new AppliedUpdates(classes)));
  }

  // Events.

  /**
   * A stream begins.
   *
   * @param killedUs when the assigner to which the proxy was connected before was killed
   */
  public void onJoined(int number, boolean isFresh, long killedUs) {
    CheckedProxy proxy = proxy(number);
    proxy.isJoining = true;
    proxy.hadWeightsAtJoin = proxy.hasWeights();
    proxy.parts.clear();
    // What is not acknowledged by now will not be acknowledged on a later stream.
    proxy.unacknowledged.clear();
    if (isFresh || proxy.acknowledgedUs > killedUs - slackUs) {
      // What the assigner may not have stored may be sent again.
      proxy.acknowledged.clear();
    }
  }

  /** The stream ended, perhaps within an update: none of its parts counts. */
  public void onStreamClosed(int number) {
    proxy(number).parts.clear();
  }

  /** The endpoint list changed the lifecycle of a server. */
  public void onListed(String server, boolean isDraining, long nowUs) {
    if (isDraining) {
      drainingSinceUs.putIfAbsent(server, nowUs);
    } else {
      drainingSinceUs.remove(server);
    }
  }

  /** The proxy acknowledged all that it has received. */
  public void onAcknowledged(int number, long nowUs) {
    CheckedProxy proxy = proxy(number);
    proxy.acknowledged.putAll(proxy.unacknowledged);
    proxy.unacknowledged.clear();
    proxy.acknowledgedUs = nowUs;
  }

  /** The proxy received a part of an update, given as the strings of its message. */
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

  /** Checks the first update of a stream. */
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
      // A proxy that joins while its table is empty is bound once the table has a server again,
      // with
      // the complete table, which repeats nothing. Others are sent what they lack.
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

  /** Checks that the proxy cannot send to a server that has been draining for long. */
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

  // Results.

  /** Returns the faults so far. */
  public List<UpdateFault> faults() {
    return faults;
  }

  /** Returns what a proxy has applied. */
  public AppliedUpdates applied(int number) {
    return proxy(number).applied;
  }

  /** Returns the number of complete updates. */
  public synchronized int updates() {
    return updates;
  }

  /** Returns how often a proxy that joined again was sent a complete table it had acknowledged. */
  public int completeTablesAtRejoin() {
    return completeTablesAtRejoin;
  }

  /** Returns how often the first update of a stream was less than a complete table. */
  public int deltasAtJoin() {
    return deltasAtJoin;
  }

  /** Whether a proxy has received something since its last acknowledgement. */
  boolean hasUnacknowledged(int number) {
    return !proxy(number).unacknowledged.isEmpty();
  }

  /** Returns the last acknowledgement number that a proxy received; 0 if it received none. */
  int lastAckNumber(int number) {
    return proxy(number).lastAckNumber;
  }
}
