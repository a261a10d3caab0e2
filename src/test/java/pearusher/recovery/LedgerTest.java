package pearusher.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import org.junit.jupiter.api.Test;
import pearusher.policy.AdmissionLevel;
import pearusher.policy.Idempotency;
import pearusher.policy.Lifecycle;
import pearusher.store.WriteBatch;

/** What a joiner lacks, what a start believes, and that both are right after any crash. */
class LedgerTest {
  private static final long HOUR = 3_600_000_000L;
  private static final String NAMES = "n0 lookup,order north";
  private final Map<String, byte[]> store = new HashMap<>();
  private long now = 1_000_000_000_000_000L;

  private Ledger ledger() {
    return ledger(RecoveryTrust.FULL, NAMES, now, false);
  }

  private Ledger ledger(RecoveryTrust given, String names, long at, boolean shared) {
    return Ledger.of(new HashMap<>(store), given, names, at, HOUR, shared);
  }

  private void end(Ledger ledger) {
    Map<String, byte[]> changes = ledger.endIteration(now += 1000);
    if (changes != null) {
      WriteBatch.ofChanges(changes).applyTo(store);
    }
  }

  private static ListedServer server(String name, Lifecycle state) {
    return new ListedServer(name, "127.0.0.1:1", 0, 0, 0, state, 1, 0);
  }

  /** A table of two lines, proxy 3 bound to it; it has answered if that is asked. */
  private Ledger bound(boolean answered) {
    Ledger ledger = ledger();
    ledger.onEndpointList(
        7, false, List.of(server("a", Lifecycle.READY), server("b", Lifecycle.READY)));
    ledger.setWeight(0, "a", 1.5);
    ledger.setWeight(0, "b", 0.5);
    ledger.setAdmission(0, 1, new AdmissionLevel(0.8, 0));
    assertNull(ledger.onProxyJoined(3, true));
    ledger.bindProxy(3, 0, true);
    ledger.lastAckNumber(11);
    ledger.onMessageSent(3);
    end(ledger);
    if (answered) {
      ledger.onAcknowledgement(3, 11);
      end(ledger);
    }
    return ledger;
  }

  @Test
  void whoHasAnsweredLacksNothing() {
    bound(true);
    CatchUp lacks = ledger().onProxyJoined(3, false);
    assertEquals(0, lacks.cost());
    assertEquals(0, lacks.table());
  }

  @Test
  void whoHasNotAnsweredGetsItsTableWhole() {
    bound(false);
    assertNull(ledger().onProxyJoined(3, false));
    assertNull(ledger().onProxyJoined(4, false), "never bound");
  }

  /** A proxy's own word wins over the store's. */
  @Test
  void aFreshProxyHoldsNothingWhateverTheStoreSays() {
    bound(true);
    Ledger again = ledger();
    assertNull(again.onProxyJoined(3, true));
    end(again);
    assertNull(ledger().onProxyJoined(3, false), "and that lasts");
  }

  @Test
  void whatChangedSinceTheAnswerIsLacking() {
    Ledger ledger = bound(true);
    ledger.setWeight(0, "b", 0.7);
    ledger.setEjected("a", true, now);
    ledger.setAdmission(0, 1, new AdmissionLevel(1, 1));
    end(ledger);
    CatchUp lacks = ledger().onProxyJoined(3, false);
    assertEquals(Map.of("b", 0.7), lacks.weights());
    assertEquals(Map.of(1, new AdmissionLevel(1, 1)), lacks.admissionLevels());
    assertEquals(Map.of("a", true), lacks.ejections());
    ledger.lastAckNumber(12);
    ledger.onMessageSent(3);
    end(ledger);
    ledger.onAcknowledgement(3, 12);
    end(ledger);
    lacks = ledger().onProxyJoined(3, false);
    assertEquals(0, lacks.cost());
    assertEquals(Map.of("a", true, "b", false), lacks.announced());
  }

  /** Marks of an earlier process, and those of another stream, answer for nothing. */
  @Test
  void anAnswerCountsOnItsOwnStreamOnly() {
    Ledger ledger = bound(false);
    assertNull(ledger.onProxyJoined(3, false));
    ledger.onAcknowledgement(3, 11);
    end(ledger);
    assertNull(ledger().onProxyJoined(3, false));
    assertEquals(11, ledger().lastAckNumber(), "the next mark is another one");
  }

  @Test
  void aStartTakesOutWhatTheListNoLongerNames() {
    bound(true);
    Ledger again = ledger();
    again.setEjected("b", true, now);
    end(again);
    again = ledger();
    again.start(List.of(server("b", Lifecycle.READY)), now);
    CatchUp lacks = again.onProxyJoined(3, false);
    assertEquals(Map.of("a", 0.0), lacks.weights());
    assertEquals(Map.of("b", false), lacks.ejections(), "b is back");
    again.start(List.of(server("b", Lifecycle.DRAINING)), now);
    assertEquals(Set.of("b"), again.weights(0).keySet());
  }

  /**
   * A whole list that leaves a server out says that it is gone: the next start must not list it.
   */
  @Test
  void aWholeListForgetsWhomItDoesNotName() {
    Ledger ledger = bound(true);
    ledger.onEndpointList(8, true, List.of(server("b", Lifecycle.READY)));
    end(ledger);
    assertEquals(Set.of("b"), ledger().servers().keySet());
    assertEquals(8, ledger().generation());
  }

  /** Each doubt takes what it must, and the epoch, the turn and the mark rise all the same. */
  @Test
  void doubts() {
    bound(true);
    assertEquals(
        RecoveryTrust.EMPTY,
        Ledger.of(Map.of(), RecoveryTrust.FULL, NAMES, now, HOUR, false).trust());
    assertEquals(RecoveryTrust.FULL, ledger().trust());
    Map<RecoveryTrust, Ledger> doubted =
        Map.of(
            RecoveryTrust.RESTORED_COPY,
            ledger(RecoveryTrust.RESTORED_COPY, NAMES, now, false),
            RecoveryTrust.ABANDONED,
            ledger(RecoveryTrust.ABANDONED, NAMES, now, false),
            RecoveryTrust.OTHER_SETTINGS,
            ledger(RecoveryTrust.FULL, "n0 order,lookup north", now, false),
            RecoveryTrust.STALE,
            ledger(RecoveryTrust.FULL, NAMES, now + HOUR + 1, false),
            RecoveryTrust.CLOCK_SKEW,
            ledger(RecoveryTrust.FULL, NAMES, now - HOUR, false));
    doubted.forEach(
        (doubt, ledger) -> {
          assertEquals(doubt, ledger.trust());
          assertEquals(2, ledger.epoch());
          assertEquals(11, ledger.lastAckNumber());
          assertTrue(ledger.iteration() > 0);
          assertEquals(Set.of(), ledger.tables());
          assertNull(ledger.onProxyJoined(3, false));
        });
    Ledger shared = ledger(RecoveryTrust.FULL, NAMES, now, true);
    assertEquals(RecoveryTrust.SHARED_FLEET, shared.trust());
    assertNull(shared.onProxyJoined(3, false), "it may hold another assigner's table");
    assertEquals(Set.of("a", "b"), shared.weights(0).keySet());
    store.put("t/0/l/c", new byte[] {1});
    assertEquals(RecoveryTrust.UNREADABLE, ledger().trust());
    Ledger unreadable = ledger();
    end(unreadable);
    assertEquals(Set.of("m"), store.keySet(), "what is not believed does not stay");
  }

  /** A way to repeat that is unsafe for its class is not taken over, wherever it came from. */
  @Test
  void noUnsafeRepeatIsTakenOver() {
    Ledger ledger = ledger();
    ledger.setAdmission(0, 0, new AdmissionLevel(1, 3));
    ledger.setAdmission(0, 1, new AdmissionLevel(1, 3));
    end(ledger);
    assertEquals(
        Map.of(0, new AdmissionLevel(1, 3), 1, new AdmissionLevel(1, 1)),
        ledger().admissionLevels(0, List.of(Idempotency.IDEMPOTENT, Idempotency.NOT_IDEMPOTENT)));
  }

  /**
   * Servers that come and go leave nothing behind, and who was away too long gets its table whole.
   */
  @Test
  void manyServersLeaveNothingBehind() {
    Ledger ledger = bound(true);
    for (int k = 0; k < 5000; k++) {
      ledger.onEndpointList(8 + k, false, List.of(server("s" + k, Lifecycle.READY)));
      ledger.setWeight(0, "s" + k, 1);
      end(ledger);
      ledger.setEjected("s" + k, true, now);
      ledger.setWeight(0, "s" + k, 0);
      end(ledger);
      ledger.forgetServer("s" + k);
    }
    end(ledger);
    assertTrue(store.size() < 150, store.size() + " keys");
    assertNull(ledger().onProxyJoined(3, false));
  }

  /** A proxy's end of the channel, with what it holds. */
  private static final class Follower {
    final Map<String, Double> lines = new TreeMap<>();
    final Map<Integer, AdmissionLevel> levels = new TreeMap<>();
    final Set<String> out = new TreeSet<>();
    final List<Runnable> way = new ArrayList<>();
    boolean fresh = true;

    void word(String server, boolean isOut) {
      if (isOut) {
        out.add(server);
      } else {
        out.remove(server);
      }
    }

    Map<String, Double> open() {
      Map<String, Double> open = new TreeMap<>(lines);
      open.keySet().removeAll(out);
      return open;
    }
  }

  /**
   * Orders, answers, breaks and crashes drawn from a seed; messages are cut off where the crash
   * takes them. A follower that rejoins and applies what it is said to lack must hold what was
   * ordered.
   */
  @Property(seed = "9", tries = 400)
  void whatIsLackingIsExactlyThat(@ForAll long seed) {
    store.clear();
    Random random = new Random(seed);
    Follower follower = new Follower();
    Ledger ledger = ledger();
    Map<String, Boolean> words = new HashMap<>();
    boolean joined = false;
    int mark = 0;
    for (int step = 0; step < 60; step++) {
      if (!joined) {
        CatchUp lacks = ledger.onProxyJoined(1, follower.fresh);
        ledger.bindProxy(1, 0, lacks == null);
        Map<String, Double> whole = ledger.weights(0);
        Map<Integer, AdmissionLevel> levels = levels(ledger);
        Map<String, Boolean> out = new HashMap<>(words);
        follower.way.add(
            lacks == null
                ? () -> {
                  follower.fresh = false;
                  follower.lines.clear();
                  follower.lines.putAll(whole);
                  follower.levels.clear();
                  follower.levels.putAll(levels);
                  whole.keySet().forEach(s -> follower.word(s, out.getOrDefault(s, false)));
                }
                : () ->
                    apply(follower, lacks.weights(), lacks.admissionLevels(), lacks.ejections()));
        joined = true;
      }
      Map<String, Double> changed = new HashMap<>();
      Map<Integer, AdmissionLevel> admitted = new HashMap<>();
      Map<String, Boolean> flips = new HashMap<>();
      for (int k = random.nextInt(3); k > 0; k--) {
        String server = "s" + random.nextInt(6);
        if (random.nextInt(4) == 0) {
          boolean out = random.nextBoolean();
          ledger.setEjected(server, out, now);
          words.put(server, out);
          flips.put(server, out);
        } else if (random.nextInt(4) == 0) {
          AdmissionLevel level = new AdmissionLevel(random.nextInt(5), random.nextInt(2));
          ledger.setAdmission(0, 0, level);
          admitted.put(0, level);
        } else {
          double weight = random.nextInt(4);
          ledger.setWeight(0, server, weight);
          changed.put(server, weight);
          // A line goes along with how its server stands.
          flips.put(server, words.getOrDefault(server, false));
        }
      }
      int ticket = ++mark;
      ledger.lastAckNumber(ticket);
      ledger.onMessageSent(1);
      end(ledger);
      follower.way.add(() -> apply(follower, changed, admitted, flips));
      boolean crash = random.nextInt(8) == 0;
      int arrived = crash ? random.nextInt(follower.way.size() + 1) : follower.way.size();
      boolean all = arrived == follower.way.size();
      follower.way.subList(0, arrived).forEach(Runnable::run);
      follower.way.clear();
      if (all && random.nextInt(3) > 0) {
        ledger.onAcknowledgement(1, ticket);
        if (random.nextBoolean()) {
          end(ledger);
        }
      }
      if (crash) {
        ledger = ledger();
        joined = false;
      } else if (random.nextInt(9) == 0) {
        ledger.onProxyLeft(1);
        joined = false;
      }
      if (joined) {
        Map<String, Double> open = ledger.weights(0);
        open.keySet().removeIf(s -> words.getOrDefault(s, false));
        assertEquals(open, follower.open(), "seed " + seed + " step " + step);
        assertEquals(levels(ledger), follower.levels);
      }
    }
    assertNotNull(ledger);
  }

  private static Map<Integer, AdmissionLevel> levels(Ledger ledger) {
    return ledger.admissionLevels(0, List.of(Idempotency.IDEMPOTENT, Idempotency.IDEMPOTENT));
  }

  private static void apply(
      Follower f,
      Map<String, Double> lines,
      Map<Integer, AdmissionLevel> levels,
      Map<String, Boolean> words) {
    lines.forEach(
        (server, weight) -> {
          if (weight > 0) {
            f.lines.put(server, weight);
          } else {
            f.lines.remove(server);
          }
        });
    f.levels.putAll(levels);
    words.forEach(f::word);
  }
}
