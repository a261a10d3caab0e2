package pearusher.recovery;

import java.io.IOException;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pearusher.policy.AdmissionLevel;
import pearusher.policy.Idempotency;
import pearusher.policy.Lifecycle;

/**
 * What this assigner has ordered, turn by turn, as it is to last: each table's lines and levels,
 * the servers that are out, whom each proxy follows and up to which turn it has answered, and the
 * list. Every change carries the turn that made it, so that what a proxy lacks since a turn can be
 * told without keeping old tables.
 *
 * <p>One thread calls it. The changes of a turn go to the store together: whole or not at all. It
 * grows as {@link LedgerState} and {@link OutstandingAcks} do.
 */
public final class Ledger {
  private final LedgerState state = new LedgerState();
  private final OutstandingAcks marks = new OutstandingAcks();
  private final String settings;

  /**
   * There are other assigners: who left may have followed one of them, and holds its tables then.
   */
  private final boolean shared;

  private long epoch = 1;
  private long turn;
  private long timeUs;
  private int mark;
  private RecoveryTrust doubt = RecoveryTrust.EMPTY;

  /** Of the turn at hand: keys that changed, and whether anything was ordered. */
  private final Set<String> changed = new LinkedHashSet<>();

  private final Set<Integer> sent = new HashSet<>();
  private boolean ordered;
  private boolean alive;
  private int marked = -1;

  private Ledger(String settings, boolean shared) {
    this.settings = settings;
    this.shared = shared;
  }

  /**
   * The ledger that a store's values make, and how far they are believed.
   *
   * @param given what the store itself says against it: {@link RecoveryTrust#EMPTY} for nothing
   * @param settings names that give positions their meaning: another text is another ledger
   * @param nowUs Unix time in microseconds
   * @param trustUs longest time since the store's last word
   * @param shared there are other assigners that proxies may join
   */
  public static Ledger of(
      Map<String, byte[]> values,
      RecoveryTrust given,
      String settings,
      long nowUs,
      long trustUs,
      boolean shared) {
    Ledger out = new Ledger(settings, shared);
    if (!values.containsKey(LedgerCodec.META)) {
      return out;
    }
    long epoch = 0;
    try {
      LedgerCodec.Meta meta = LedgerCodec.read(values.get(LedgerCodec.META), LedgerCodec::meta);
      epoch = meta.epoch();
      out.turn = meta.turn();
      out.timeUs = meta.timeUs();
      out.mark = meta.mark();
      out.doubt = given != RecoveryTrust.FULL ? given : out.doubtOf(meta, nowUs, trustUs);
      for (Map.Entry<String, byte[]> one : values.entrySet()) {
        out.state.load(one.getKey(), one.getValue());
      }
    } catch (IOException | RuntimeException e) {
      out.doubt = RecoveryTrust.UNREADABLE;
    }
    out.epoch = epoch + 1;
    if (!out.doubt.trustsTables()) {
      out.forgetAll(values.keySet());
    }
    return out;
  }

  /** What speaks against the store's values, by what they say of themselves. */
  private RecoveryTrust doubtOf(LedgerCodec.Meta meta, long nowUs, long trustUs) {
    if (!meta.settings().equals(settings)) {
      return RecoveryTrust.OTHER_SETTINGS;
    }
    // A little of the future is two clocks of one machine; more is one that jumped.
    if (meta.timeUs() - nowUs > trustUs / 10) {
      return RecoveryTrust.CLOCK_SKEW;
    }
    if (nowUs - meta.timeUs() > trustUs) {
      return RecoveryTrust.STALE;
    }
    return shared ? RecoveryTrust.SHARED_FLEET : RecoveryTrust.FULL;
  }

  /** Nothing is taken over but what must only rise: the epoch, the turn and the mark. */
  private void forgetAll(Set<String> keys) {
    state.clear();
    keys.stream().filter(k -> !k.equals(LedgerCodec.META)).forEach(changed::add);
  }

  // What was found, for a start.

  public RecoveryTrust trust() {
    return doubt;
  }

  public long epoch() {
    return epoch;
  }

  public long iteration() {
    return turn;
  }

  /** The last mark that was ordered: the next must not be taken for one of an earlier process. */
  public int lastAckNumber() {
    return mark;
  }

  public long generation() {
    return state.generation;
  }

  public Map<String, ListedServer> servers() {
    return Map.copyOf(state.servers);
  }

  public Set<Integer> tables() {
    return Set.copyOf(state.tables.keySet());
  }

  /** A table's lines by server, without those taken out. */
  public Map<String, Double> weights(int number) {
    return state.table(number).weights();
  }

  /** A table's levels by class. A way to repeat what must never run twice is not taken over. */
  public Map<Integer, AdmissionLevel> admissionLevels(int number, List<Idempotency> effects) {
    return state.table(number).levels(effects);
  }

  /** Servers that are out, as last ordered. */
  public Set<String> ejectedServers() {
    Set<String> out = new HashSet<>();
    state.ejections.forEach(
        (server, ejection) -> {
          if (ejection.out()) {
            out.add(server);
          }
        });
    return out;
  }

  // Events.

  /** What a proxy that joins lacks; null where it must get its table whole. */
  public CatchUp onProxyJoined(int proxy, boolean fresh) {
    marks.forget(proxy);
    LedgerCodec.Proxy known = state.proxies.get(proxy);
    if (known == null || fresh || shared) {
      // Its own word wins: a fresh one holds nothing, whatever was ordered.
      if (state.proxies.remove(proxy) != null) {
        changed.add(LedgerCodec.PROXY + proxy);
      }
      return null;
    }
    return CatchUpBuilder.of(state, known);
  }

  /**
   * A start takes the list as it is merged, in a turn of its own, so that who holds something else
   * hears of it: lines of servers that it does not name are taken out, and a server that is back is
   * let in again.
   */
  public void start(Iterable<ListedServer> list, long nowUs) {
    Set<String> named = new HashSet<>();
    list.forEach(
        server -> {
          named.add(server.name());
          if (server.lifecycle() == Lifecycle.READY && state.ejections.containsKey(server.name())) {
            setEjected(server.name(), false, nowUs);
          }
        });
    for (int number : tables()) {
      weights(number).keySet().stream()
          .filter(s -> !named.contains(s))
          .forEach(s -> setWeight(number, s, 0));
    }
    Set<String> unknown = new HashSet<>(state.ejections.keySet());
    unknown.addAll(state.servers.keySet());
    unknown.removeAll(named);
    unknown.forEach(this::forgetServer);
    ordered = true;
  }

  /**
   * What the list says now; a whole one says of servers that it does not name that they are gone.
   */
  public void onEndpointList(long listGeneration, boolean whole, List<ListedServer> said) {
    if (whole) {
      Set<String> missing = new HashSet<>(state.servers.keySet());
      said.forEach(one -> missing.remove(one.name()));
      state.servers.keySet().removeAll(missing);
      missing.forEach(name -> changed.add(LedgerCodec.SERVER + name));
    }
    if (listGeneration != state.generation) {
      state.generation = listGeneration;
      changed.add(LedgerCodec.LIST);
    }
    for (ListedServer one : said) {
      if (!one.equals(state.servers.put(one.name(), one))) {
        changed.add(LedgerCodec.SERVER + one.name());
      }
    }
  }

  public void forgetServer(String server) {
    if (state.servers.remove(server) != null) {
      changed.add(LedgerCodec.SERVER + server);
    }
    if (state.ejections.remove(server) != null) {
      changed.add(LedgerCodec.EJECTION + server);
    }
  }

  public void onProxyLeft(int proxy) {
    marks.forget(proxy);
  }

  /** A proxy has applied all up to a mark. */
  public void onAcknowledgement(int proxy, int number) {
    LedgerCodec.Proxy known = state.proxies.get(proxy);
    long at = known == null ? OutstandingAcks.NOT_SENT : marks.answer(proxy, number);
    if (at != OutstandingAcks.NOT_SENT) {
      state.proxies.put(proxy, new LedgerCodec.Proxy(known.table(), known.whole(), at));
      changed.add(LedgerCodec.PROXY + proxy);
    }
  }

  // Orders.

  public void setWeight(int number, String server, double weight) {
    LedgerTable table = state.table(number);
    if (weight > 0 || table.lines.containsKey(server)) {
      table.lines.put(server, new LedgerCodec.Line(Math.max(0, weight), turn + 1));
      changed.add(LedgerCodec.lineKey(number, server));
      ordered = true;
    }
  }

  public void clearTable(int number) {
    weights(number).keySet().forEach(server -> setWeight(number, server, 0));
    LedgerTable table = state.table(number);
    table.levels.keySet().forEach(grade -> changed.add(LedgerCodec.levelKey(number, grade)));
    table.levels.clear();
    // That levels are gone can't be told a proxy by its lines: it gets the table whole.
    floor(number, table, turn + 1);
    ordered = true;
  }

  private void floor(int number, LedgerTable table, long at) {
    table.floor = at;
    changed.add(LedgerCodec.floorKey(number));
  }

  /** A server is out, or back; what was said already is not said again. */
  public void setEjected(String server, boolean out, long nowUs) {
    LedgerCodec.Ejection old = state.ejections.get(server);
    if (old != null && old.out() == out) {
      return;
    }
    state.ejections.put(server, new LedgerCodec.Ejection(out, turn + 1, nowUs));
    changed.add(LedgerCodec.EJECTION + server);
    ordered = true;
  }

  /** A proxy is bound for all classes to one table; {@code whole}: it is sent all of it. */
  public void bindProxy(int proxy, int number, boolean whole) {
    LedgerCodec.Proxy known = state.proxies.get(proxy);
    state.proxies.put(
        proxy, whole || known == null ? new LedgerCodec.Proxy(number, turn + 1, 0) : known);
    changed.add(LedgerCodec.PROXY + proxy);
    ordered = true;
  }

  /** A proxy is bound in another way than this ledger can tell: it always gets its tables whole. */
  public void unbindProxy(int proxy) {
    state.proxies.remove(proxy);
    changed.add(LedgerCodec.PROXY + proxy);
  }

  public void setAdmission(int number, int grade, AdmissionLevel level) {
    state.table(number).levels.put(grade, new LedgerCodec.LevelAt(level, turn + 1));
    changed.add(LedgerCodec.levelKey(number, grade));
    ordered = true;
  }

  public void lastAckNumber(int number) {
    mark = number;
    marked = number;
    ordered = true;
  }

  /** A message of this turn goes to a proxy. */
  public void onMessageSent(int proxy) {
    sent.add(proxy);
  }

  /** A sign of life is due: without it a calm assigner's store would look as if left long ago. */
  public void requestHeartbeat() {
    alive = true;
  }

  /**
   * Ends the turn.
   *
   * @return its changes by key, null for one that is gone; null where there are none
   */
  public Map<String, byte[]> endIteration(long nowUs) {
    if (ordered) {
      turn++;
      for (int proxy : marked >= 0 ? sent : Set.<Integer>of()) {
        marks.add(proxy, marked, turn);
      }
    }
    boolean due = ordered;
    ordered = false;
    marked = -1;
    sent.clear();
    due |= alive;
    alive = false;
    if (changed.isEmpty() && !due) {
      return null;
    }
    prune();
    timeUs = Math.max(timeUs, nowUs);
    Map<String, byte[]> out = new LinkedHashMap<>();
    changed.remove(LedgerCodec.META);
    for (String key : changed) {
      out.put(key, state.value(key));
    }
    changed.clear();
    out.put(
        LedgerCodec.META,
        LedgerCodec.of(new LedgerCodec.Meta(epoch, turn, timeUs, mark, settings)));
    return out;
  }

  /**
   * Lines that were taken out go once every proxy of the table has answered for it, or are too
   * many: then who has not answered since the youngest that went gets its table whole. Else each
   * server that ever was would stay.
   */
  private void prune() {
    state.tables.forEach(
        (number, table) -> {
          if (!table.isToBePruned()) {
            return;
          }
          long answered =
              state.proxies.values().stream()
                  .filter(p -> p.table() == number)
                  .mapToLong(LedgerCodec.Proxy::applied)
                  .min()
                  .orElse(turn);
          long upTo = table.pruneTurn(answered);
          if (upTo > answered) {
            floor(number, table, Math.max(table.floor, upTo));
          }
          table.prune(upTo).forEach(server -> changed.add(LedgerCodec.lineKey(number, server)));
        });
  }
}
