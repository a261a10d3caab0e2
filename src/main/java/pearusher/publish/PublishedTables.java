package pearusher.publish;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.LongFunction;
import pearusher.policy.AdmissionLevel;
import pearusher.protocol.MessageEncoder;
import pearusher.protocol.RequestClasses;
import pearusher.protocol.UpdatePart;
import pearusher.recovery.CatchUp;

/**
 * What is ordered: each table's lines and levels, the levels for all, the withdrawals, who is bound
 * to what and what each proxy was told on its stream. It turns the orders of one turn into one
 * message a proxy, as WIRE says orders take effect. It must never judge: nothing is ordered, held
 * back or changed here. Only the decision thread uses it. It grows with the tables and their lines,
 * and with the proxies and the servers that each was told of.
 */
public final class PublishedTables {
  /** The table number that stands for all of them, in levels. */
  public static final int ALL_TABLES = 65535;

  private final RequestClasses classes;
  private final Map<Integer, PublishedTable> tables = new TreeMap<>();
  private final Map<Integer, ProxyStreamState> proxies = new TreeMap<>();
  private final GlobalAdmissionLevels forAll;
  private final EjectionState ejections = new EjectionState();
  private final UpdateComposer composer;

  /** Of this turn; null for none. */
  private UpdateComposer.MarkOrder mark;

  public PublishedTables(List<String> classes, LongFunction<String> names) {
    this.classes = new RequestClasses(classes);
    forAll = new GlobalAdmissionLevels(classes.size());
    composer = new UpdateComposer(this.classes, names, tables, forAll, ejections);
  }

  /** A table as an earlier process left it: who is bound gets it, nobody hears of it by itself. */
  public void restoreTable(
      int number, Map<Long, Double> lines, Map<Integer, AdmissionLevel> levels) {
    table(number).lines.putAll(lines);
    levels.forEach((k, level) -> table(number).levels[k] = level);
  }

  /** A server that an earlier process withdrew, and that still is out. */
  public void restoreEjection(long server) {
    ejections.restore(server);
  }

  /** A stream whose proxy holds a table of ours: it was told before how these servers stand. */
  public void setAnnounced(int proxy, Map<Long, Boolean> out) {
    proxies.get(proxy).announced.putAll(out);
  }

  /** Binds a proxy that holds the table but for what is named: that alone goes to it. */
  public void bindWithCatchUp(int proxy, CatchUp lacks, Map<Long, Boolean> ejected) {
    table(lacks.table());
    proxies.get(proxy).adopt(lacks, ejected);
  }

  /**
   * A stream begins: what the proxy holds of withdrawals is not known, and no table of ours is its.
   */
  public void addProxy(int proxy) {
    proxies.put(proxy, new ProxyStreamState(classes.count()));
  }

  /** The proxy shuts out no server but those in doubt at all. */
  public void confirmProxy(int proxy) {
    proxies.get(proxy).sure = true;
  }

  public void suspectEjection(long server, boolean all) {
    ejections.doubt(server, all);
  }

  public void forgetServer(long server) {
    ejections.forget(server);
    proxies.values().forEach(p -> p.announced.remove(server));
  }

  /** What is kept by server and proxy, lines of tables aside. */
  public int size() {
    return ejections.size() + proxies.values().stream().mapToInt(ProxyStreamState::size).sum();
  }

  public void removeProxy(int proxy) {
    proxies.remove(proxy);
  }

  private PublishedTable table(int number) {
    return tables.computeIfAbsent(number, n -> new PublishedTable(classes.count()));
  }

  public void setWeight(int number, long server, double weight) {
    table(number).line(server, weight);
  }

  public void clearTable(int number) {
    table(number).clear();
  }

  public void setEjected(long server, boolean out) {
    ejections.order(server, out);
  }

  /** Whether these are all classes. */
  public boolean coversAllClasses(int classBits) {
    return classes.coversAll(classBits);
  }

  public void bindProxy(int proxy, int number, int classBits) {
    ProxyStreamState p = proxies.get(proxy);
    if (p == null) {
      return;
    }
    table(number);
    for (int k = 0; k < classes.count(); k++) {
      if ((classes.bits(classBits) >> k & 1) != 0) {
        p.bind(k, number);
      }
    }
  }

  public void setAdmission(int number, int classBits, double level, int retry) {
    AdmissionLevel to = new AdmissionLevel(level, retry);
    int which = classes.bits(classBits);
    if (number == ALL_TABLES) {
      forAll.order(which, to);
      return;
    }
    PublishedTable table = table(number);
    GlobalAdmissionLevels.set(table.levels, which, to);
    table.changedLevels |= which;
  }

  /** A number below 0 is no mark. */
  public void requestAck(int number, boolean toAll) {
    mark = number < 0 ? null : new UpdateComposer.MarkOrder(number, toAll);
  }

  /** Gives each proxy's message of the turn, and starts the next turn. */
  public void publish(long now, BiConsumer<Integer, byte[]> send) {
    boolean quiet =
        ejections.changed().isEmpty()
            && forAll.changed() == 0
            && mark == null
            && tables.values().stream().noneMatch(PublishedTable::isTouched);
    proxies.forEach(
        (id, p) -> {
          p.announcedForAll &= ~forAll.changed();
          List<UpdatePart> parts =
              quiet && !p.isBoundAnew() ? List.of() : composer.compose(p, mark);
          if (!parts.isEmpty()) {
            if (parts.stream().anyMatch(part -> part.ackNumber().isPresent())) {
              p.owe(mark.number(), now);
            }
            send.accept(id, MessageEncoder.encodeUpdate(parts));
          }
          p.endTurn();
        });
    tables
        .entrySet()
        .removeIf(entry -> entry.getValue().isEmptied() && !isFollowed(entry.getKey()));
    tables.values().forEach(PublishedTable::endTurn);
    ejections.endTurn();
    forAll.endTurn();
    mark = null;
  }

  private boolean isFollowed(int number) {
    return proxies.values().stream().anyMatch(proxy -> proxy.follows(number));
  }

  /** Tables that are kept, for tests of what must not grow. */
  int tableCount() {
    return tables.size();
  }

  /**
   * Takes a proxy's answer to a mark: false where that mark was not ordered on its stream, was
   * answered before, or would have taken longer than it is out. Guards the pace of the channel
   * against spoilt answers, which the module takes at their word.
   */
  public boolean acknowledge(long now, int proxy, int number, long tookUs) {
    ProxyStreamState p = proxies.get(proxy);
    return p != null && p.answer(now, number, tookUs);
  }
}
