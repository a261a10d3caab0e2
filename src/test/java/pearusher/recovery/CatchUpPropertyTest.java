package pearusher.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import pearusher.policy.AdmissionLevel;
import pearusher.policy.Idempotency;

/**
 * A rejoining proxy that applies its catch-up must have exactly the issued state, also after
 * crashes. Otherwise it would route requests by stale weights, admission levels or ejections.
 */
class CatchUpPropertyTest {
  private static final int STEPS = 60;

  /**
   * Runs commands, acknowledgements, disconnects and crashes drawn from a seed. A crash drops the
   * messages that are not yet delivered.
   */
  @Property(seed = "9", tries = 400)
  void rejoiningProxyHasTheIssuedStateAfterCatchUp(@ForAll long seed) {
    Scenario scenario = new Scenario(seed);
    for (int step = 0; step < STEPS; step++) {
      scenario.runStep(step);
    }
    assertNotNull(scenario.ledger);
  }

  /** The changes that a message to the proxy contains. */
  private record Update(
      Map<String, Double> weights,
      Map<Integer, AdmissionLevel> admissionLevels,
      Map<String, Boolean> ejections) {
    Update() {
      this(new HashMap<>(), new HashMap<>(), new HashMap<>());
    }
  }

  /** The state of the proxy. */
  private static final class Proxy {
    final Map<String, Double> weights = new TreeMap<>();
    final Map<Integer, AdmissionLevel> admissionLevels = new TreeMap<>();
    final Set<String> ejected = new TreeSet<>();
    boolean isFresh = true;

    void applyCompleteTable(Update table) {
      isFresh = false;
      weights.clear();
      admissionLevels.clear();
      apply(table);
    }

    void apply(Update update) {
      update
          .weights()
          .forEach(
              (server, weight) -> {
                if (weight > 0) {
                  weights.put(server, weight);
                } else {
                  weights.remove(server);
                }
              });
      admissionLevels.putAll(update.admissionLevels());
      update.ejections().forEach(this::setEjected);
    }

    private void setEjected(String server, boolean isEjected) {
      if (isEjected) {
        ejected.add(server);
      } else {
        ejected.remove(server);
      }
    }

    Map<String, Double> usableWeights() {
      Map<String, Double> usable = new TreeMap<>(weights);
      usable.keySet().removeAll(ejected);
      return usable;
    }
  }

  /** A ledger with its store and one proxy. */
  private static final class Scenario {
    private static final int PROXY = 1;
    private static final int TABLE = 0;
    private static final int REQUEST_CLASS = 0;

    private final long seed;
    private final Random random;
    private final Map<String, byte[]> store = new HashMap<>();
    private final Proxy proxy = new Proxy();
    private final List<Runnable> messages = new ArrayList<>();
    private final Map<String, Boolean> ejections = new HashMap<>();
    private long nowUs = 1_000_000_000_000_000L;
    private boolean isJoined;
    private int lastAckNumber;
    private Ledger ledger;

    Scenario(long seed) {
      this.seed = seed;
      random = new Random(seed);
      ledger = recover();
    }

    private Ledger recover() {
      return LedgerRecovery.recover(
          new HashMap<>(store),
          new RecoveryConditions(
              RecoveryTrust.FULL, "n0 lookup,order north", nowUs, 3_600_000_000L, false));
    }

    private void endIteration() {
      nowUs += 1000;
      ledger.endIteration(nowUs).ifPresent(changes -> changes.forEach(store::put, store::remove));
    }

    void runStep(int step) {
      if (!isJoined) {
        join();
      }
      issueRandomCommands();
      boolean isCrash = random.nextInt(8) == 0;
      boolean isEveryMessageDelivered = deliverMessages(isCrash);
      if (isEveryMessageDelivered && random.nextInt(3) > 0) {
        ledger.onAcknowledgement(PROXY, lastAckNumber);
        if (random.nextBoolean()) {
          endIteration();
        }
      }
      disconnect(isCrash);
      if (isJoined) {
        assertProxyHasTheIssuedState(step);
      }
    }

    private void join() {
      CatchUp catchUp = ledger.onProxyJoined(PROXY, proxy.isFresh).orElse(null);
      ledger.bindProxy(PROXY, TABLE, catchUp == null);
      messages.add(catchUp == null ? completeTable() : catchUpUpdate(catchUp));
      isJoined = true;
    }

    private Runnable completeTable() {
      Update table = new Update(ledger.weights(TABLE), admissionLevels(), new HashMap<>());
      for (String server : table.weights().keySet()) {
        table.ejections().put(server, ejections.getOrDefault(server, false));
      }
      return () -> proxy.applyCompleteTable(table);
    }

    private Runnable catchUpUpdate(CatchUp catchUp) {
      Update update = new Update(catchUp.weights(), catchUp.admissionLevels(), catchUp.ejections());
      return () -> proxy.apply(update);
    }

    private void issueRandomCommands() {
      Update update = new Update();
      for (int remaining = random.nextInt(3); remaining > 0; remaining--) {
        issueCommand("s" + random.nextInt(6), update);
      }
      lastAckNumber++;
      ledger.requestAck(lastAckNumber);
      ledger.onMessageSent(PROXY);
      endIteration();
      messages.add(() -> proxy.apply(update));
    }

    private void issueCommand(String server, Update update) {
      if (random.nextInt(4) == 0) {
        boolean isEjected = random.nextBoolean();
        ledger.setEjected(server, isEjected, nowUs);
        ejections.put(server, isEjected);
        update.ejections().put(server, isEjected);
      } else if (random.nextInt(4) == 0) {
        AdmissionLevel level = new AdmissionLevel(random.nextInt(5), random.nextInt(2));
        ledger.setAdmission(TABLE, REQUEST_CLASS, level);
        update.admissionLevels().put(REQUEST_CLASS, level);
      } else {
        double weight = random.nextInt(4);
        ledger.setWeight(TABLE, server, weight);
        update.weights().put(server, weight);
        // A weight is sent together with the ejection state of its server.
        update.ejections().put(server, ejections.getOrDefault(server, false));
      }
    }

    /**
     * Delivers all messages, or those before a crash.
     *
     * @return whether all messages were delivered
     */
    private boolean deliverMessages(boolean isCrash) {
      int deliveredCount = isCrash ? random.nextInt(messages.size() + 1) : messages.size();
      boolean isEveryMessageDelivered = deliveredCount == messages.size();
      messages.subList(0, deliveredCount).forEach(Runnable::run);
      messages.clear();
      return isEveryMessageDelivered;
    }

    private void disconnect(boolean isCrash) {
      if (isCrash) {
        ledger = recover();
        isJoined = false;
      } else if (random.nextInt(9) == 0) {
        ledger.onProxyLeft(PROXY);
        isJoined = false;
      }
    }

    private void assertProxyHasTheIssuedState(int step) {
      Map<String, Double> usable = ledger.weights(TABLE);
      usable.keySet().removeIf(server -> ejections.getOrDefault(server, false));
      assertEquals(usable, proxy.usableWeights(), "seed " + seed + " step " + step);
      assertEquals(admissionLevels(), proxy.admissionLevels);
    }

    private Map<Integer, AdmissionLevel> admissionLevels() {
      return ledger.admissionLevels(TABLE, List.of(Idempotency.IDEMPOTENT, Idempotency.IDEMPOTENT));
    }
  }
}
