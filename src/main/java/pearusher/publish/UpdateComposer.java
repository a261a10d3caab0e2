package pearusher.publish;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongFunction;
import pearusher.policy.AdmissionLevel;
import pearusher.protocol.RequestClasses;
import pearusher.protocol.UpdatePart;

/**
 * Composes the one message that a proxy gets of a turn, from what was ordered and what its stream
 * was told before, and notes there what it is told now. Only the decision thread uses it. It keeps
 * nothing itself.
 */
final class UpdateComposer {
  /** Most lines of one part: it stays far below the most bytes of a message. */
  private static final int PART_LINES = 8192;

  /** A mark of the turn: for those who get something, or for all. */
  record MarkOrder(int number, boolean toAll) {}

  /** Classes with the same table and the same need of it share their lines. */
  private record TableNeed(int number, boolean whole) {}

  private final RequestClasses classes;
  private final LongFunction<String> names;
  private final Map<Integer, PublishedTable> tables;
  private final GlobalAdmissionLevels forAll;
  private final EjectionState ejections;

  UpdateComposer(
      RequestClasses classes,
      LongFunction<String> names,
      Map<Integer, PublishedTable> tables,
      GlobalAdmissionLevels forAll,
      EjectionState ejections) {
    this.classes = classes;
    this.names = names;
    this.tables = tables;
    this.forAll = forAll;
    this.ejections = ejections;
  }

  /**
   * The parts of a proxy's message; none where there is nothing to say. {@code mark}: null for
   * none.
   */
  List<UpdatePart> compose(ProxyStreamState proxy, MarkOrder mark) {
    List<UpdatePart> out = new ArrayList<>();
    needs(proxy).forEach((need, which) -> tableParts(out, proxy, which, need));
    addEjections(out, proxy, mark);
    // Levels for all go along with the next message to who has not heard them.
    if (!out.isEmpty() || forAll.changed() != 0) {
      addLevelsForAll(out, proxy);
    }
    return out;
  }

  private Map<TableNeed, Integer> needs(ProxyStreamState proxy) {
    Map<TableNeed, Integer> out = new LinkedHashMap<>();
    for (int k = 0; k < classes.count(); k++) {
      PublishedTable table = bound(proxy, k);
      boolean whole = table != null && (proxy.whole[k] || table.cleared);
      out.merge(new TableNeed(proxy.table[k], whole), 1 << k, (a, b) -> a | b);
    }
    return out;
  }

  private PublishedTable bound(ProxyStreamState proxy, int grade) {
    int number = proxy.table[grade];
    return number == ProxyStreamState.UNBOUND ? null : tables.get(number);
  }

  /** The lines of one table, and the levels of its classes, for the classes that share them. */
  private void tableParts(List<UpdatePart> out, ProxyStreamState proxy, int which, TableNeed need) {
    if (need.number() == ProxyStreamState.UNBOUND) {
      return;
    }
    PublishedTable table = tables.get(need.number());
    boolean whole = need.whole();
    Map<AdmissionLevel, Integer> levels = levels(proxy, table, which, whole);
    boolean one = levels.size() == 1 && levels.containsValue(which);
    AdmissionLevel with = one ? levels.keySet().iterator().next() : null;
    List<Map<String, Double>> pieces = pieces(lines(proxy, table, whole));
    for (int i = 0; i < pieces.size(); i++) {
      boolean last = i == pieces.size() - 1;
      if ((whole && i == 0) || !pieces.get(i).isEmpty() || with != null) {
        out.add(
            new UpdatePart(
                classes.names(which),
                whole && i == 0,
                pieces.get(i),
                last ? Optional.ofNullable(with) : Optional.empty(),
                List.of(),
                List.of(),
                OptionalInt.empty()));
      }
    }
    if (!one) {
      levels.forEach((level, bits) -> out.add(levelPart(level, bits)));
    }
  }

  private Map<String, Double> lines(ProxyStreamState proxy, PublishedTable table, boolean whole) {
    Map<String, Double> out = new LinkedHashMap<>();
    if (!whole && proxy.lacks != null) {
      out.putAll(proxy.lacks.weights());
    }
    for (long server : whole ? table.lines.keySet() : table.changed) {
      out.put(names.apply(server), table.lines.getOrDefault(server, 0.0));
    }
    return out;
  }

  /** The classes by the level that is due for them. */
  private Map<AdmissionLevel, Integer> levels(
      ProxyStreamState proxy, PublishedTable table, int which, boolean whole) {
    Map<AdmissionLevel, Integer> out = new LinkedHashMap<>();
    boolean lacks = !whole && proxy.lacks != null;
    for (int k = 0; k < classes.count(); k++) {
      boolean due =
          whole
              || (lacks && proxy.lacks.admissionLevels().containsKey(k))
              || ((table.changedLevels | forAll.changed()) >> k & 1) != 0;
      AdmissionLevel level = (which >> k & 1) != 0 && due ? forAll.effective(table, k) : null;
      if (level != null) {
        out.merge(level, 1 << k, (a, b) -> a | b);
      }
    }
    return out;
  }

  private UpdatePart levelPart(AdmissionLevel level, int which) {
    return new UpdatePart(
        classes.names(which),
        false,
        Map.of(),
        Optional.of(level),
        List.of(),
        List.of(),
        OptionalInt.empty());
  }

  private static List<Map<String, Double>> pieces(Map<String, Double> lines) {
    List<Map<String, Double>> out = new ArrayList<>(List.of(new LinkedHashMap<>()));
    lines.forEach(
        (server, weight) -> {
          if (out.get(out.size() - 1).size() == PART_LINES) {
            out.add(new LinkedHashMap<>());
          }
          out.get(out.size() - 1).put(server, weight);
        });
    return out;
  }

  /** Ejections, reinstatements and the mark go into the last part. */
  private void addEjections(List<UpdatePart> out, ProxyStreamState proxy, MarkOrder mark) {
    List<String> shut = new ArrayList<>();
    List<String> back = new ArrayList<>();
    ejections(proxy)
        .forEach(
            (server, isOut) -> {
              (isOut ? shut : back).add(names.apply(server));
              proxy.announced.put(server, isOut);
            });
    boolean said = !shut.isEmpty() || !back.isEmpty();
    boolean marked = mark != null && (mark.toAll() || !out.isEmpty() || said);
    if (marked || said) {
      UpdatePart last =
          out.isEmpty()
              ? new UpdatePart(
                  Optional.empty(),
                  false,
                  Map.of(),
                  Optional.empty(),
                  shut,
                  back,
                  OptionalInt.empty())
              : out.remove(out.size() - 1);
      out.add(
          new UpdatePart(
              last.classes(),
              last.replacesTable(),
              last.weights(),
              last.admission(),
              shut,
              back,
              marked ? OptionalInt.of(mark.number()) : OptionalInt.empty()));
    }
  }

  /**
   * What the proxy must hear of ejections this turn: those ordered now, where they concern it, and
   * for each server that a table of ours brings it now, how that one stands. A proxy keeps
   * ejections over streams and over our restarts: without a reinstatement, a server shut out long
   * ago would stay so. Where the module is sure of a proxy these go for doubted servers only: they
   * count in the queue.
   */
  private Map<Long, Boolean> ejections(ProxyStreamState proxy) {
    Map<Long, Boolean> out = new TreeMap<>();
    out.putAll(proxy.lacksEjections);
    boolean unbound = proxy.isUnbound();
    ejections
        .changed()
        .forEach(
            (server, isOut) -> {
              // Who holds it by no table hears once a table brings it; the module counts no line
              // for them.
              boolean holds = unbound;
              for (int number : proxy.table) {
                holds |=
                    number != ProxyStreamState.UNBOUND
                        && tables.get(number).lines.containsKey(server);
              }
              if (holds) {
                out.put(server, isOut);
              }
            });
    for (int k = 0; k < proxy.table.length; k++) {
      PublishedTable table = bound(proxy, k);
      if (table != null) {
        Set<Long> brought = proxy.whole[k] ? table.lines.keySet() : table.changed;
        brought.stream()
            .filter(table.lines::containsKey)
            .filter(s -> ejections.mustBeSaid(s, proxy.sure))
            .forEach(s -> out.put(s, ejections.isEjected(s)));
      }
    }
    out.entrySet().removeIf(e -> e.getValue().equals(proxy.announced.get(e.getKey())));
    return out;
  }

  /** Levels for all, for classes for which the proxy goes by what it brought along. */
  private void addLevelsForAll(List<UpdatePart> out, ProxyStreamState proxy) {
    Map<AdmissionLevel, Integer> levels = new LinkedHashMap<>();
    for (int k = 0; k < classes.count(); k++) {
      if (proxy.table[k] == ProxyStreamState.UNBOUND
          && forAll.get(k) != null
          && (proxy.announcedForAll >> k & 1) == 0) {
        levels.merge(forAll.get(k), 1 << k, (a, b) -> a | b);
        proxy.announcedForAll |= 1 << k;
      }
    }
    levels.forEach((level, bits) -> out.add(0, levelPart(level, bits)));
  }
}
