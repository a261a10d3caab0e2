package pearusher.serve;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.LongFunction;
import pearusher.recovery.Rejoin;

/**
 * What is ordered: each table's lines and levels, the levels for all, the withdrawals, who is bound to what
 * and what each proxy was told on its stream. It turns the orders of one turn into one message a proxy, as
 * WIRE says orders take effect. It must never judge: nothing is ordered, held back or changed here.
 */
final class Tables {
    /** The table number that stands for all of them, in levels. */
    static final int ALL = 65535;
    /** Most lines of one part: it stays far below the most bytes of a message. */
    private static final int PART_LINES = 8192;
    private static final int UNBOUND = -1;
    /** Marks kept of a proxy that answers none. */
    private static final int MOST_MARKS = 1000;

    private static final class Table {
        final Map<Long, Double> lines = new TreeMap<>();
        final Message.Level[] levels;
        /** Of this turn. */
        final Set<Long> changed = new TreeSet<>();
        int changedLevels;
        boolean cleared;

        Table(int classes) {
            levels = new Message.Level[classes];
        }

        boolean touched() {
            return cleared || changedLevels != 0 || !changed.isEmpty();
        }
    }

    private static final class Proxy {
        /** By class: the table bound, and whether that was this turn. */
        final int[] table;
        final boolean[] whole;
        /** Servers that this stream was told are out (true) or back; no entry: not known. */
        final Map<Long, Boolean> told = new TreeMap<>();
        /** Marks that it owes an answer to, and when they were ordered. */
        final ArrayDeque<long[]> marks = new ArrayDeque<>();
        /** Only servers doubted at all may be shut out there: the module is sure of the others. */
        boolean sure;
        /** Bound this turn by what it lacks of its table, not by the whole of it. */
        Rejoin lacks;
        /** And the words of servers that are out or back, by number. */
        Map<Long, Boolean> words = Map.of();
        /** Classes told the levels for all, as long as no table of ours covers them. */
        int toldAll;

        Proxy(int classes) {
            table = new int[classes];
            Arrays.fill(table, UNBOUND);
            whole = new boolean[classes];
        }

        boolean unbound() {
            return Arrays.stream(table).anyMatch(t -> t == UNBOUND);
        }
    }

    private final List<String> classes;
    private final LongFunction<String> names;
    private final Map<Integer, Table> tables = new TreeMap<>();
    private final Map<Integer, Proxy> proxies = new TreeMap<>();
    private final Message.Level[] forAll;
    private final Set<Long> withdrawn = new HashSet<>();
    /** Servers that some assigner may have withdrawn, as the module says: at any proxy, or where not sure. */
    private final Map<Long, Boolean> doubted = new HashMap<>();
    /** Of this turn. */
    private final Map<Long, Boolean> flips = new TreeMap<>();
    private int changedForAll;
    private int mark = -1;
    private boolean markAll;

    Tables(List<String> classes, LongFunction<String> names) {
        this.classes = classes;
        this.names = names;
        forAll = new Message.Level[classes.size()];
    }

    /** A table as an earlier process left it: who is bound gets it, nobody hears of it by itself. */
    void restore(int number, Map<Long, Double> lines, Map<Integer, Message.Level> levels) {
        table(number).lines.putAll(lines);
        levels.forEach((k, level) -> table(number).levels[k] = level);
    }

    /** A server that an earlier process withdrew, and that still is out. */
    void restoreOut(long server) {
        withdrawn.add(server);
    }

    /** A stream whose proxy holds a table of ours: it was told before how these servers stand. */
    void told(int proxy, Map<Long, Boolean> out) {
        proxies.get(proxy).told.putAll(out);
    }

    /** Binds a proxy that holds the table but for what is named: that alone goes to it. */
    void adopt(int proxy, Rejoin lacks, Map<Long, Boolean> words) {
        Proxy p = proxies.get(proxy);
        p.words = words;
        table(lacks.table());
        Arrays.fill(p.table, lacks.table());
        p.lacks = lacks;
    }

    /** A stream begins: what the proxy holds of withdrawals is not known, and no table of ours is its. */
    void joined(int proxy) {
        proxies.put(proxy, new Proxy(classes.size()));
    }

    /** The proxy shuts out no server but those in doubt at all. */
    void sure(int proxy) {
        proxies.get(proxy).sure = true;
    }

    void doubt(long server, boolean all) {
        doubted.put(server, all);
    }

    void forget(long server) {
        doubted.remove(server);
        withdrawn.remove(server);
        proxies.values().forEach(p -> p.told.remove(server));
    }

    /** What is kept by server and proxy, lines of tables aside. */
    int size() {
        return doubted.size() + withdrawn.size() + flips.size()
                + proxies.values().stream().mapToInt(p -> 1 + p.told.size() + p.marks.size()).sum();
    }

    void left(int proxy) {
        proxies.remove(proxy);
    }

    private Table table(int number) {
        return tables.computeIfAbsent(number, n -> new Table(classes.size()));
    }

    void line(int number, long server, double weight) {
        Table table = table(number);
        if (weight > 0) {
            table.lines.put(server, weight);
        } else {
            table.lines.remove(server);
        }
        table.changed.add(server);
    }

    void clear(int number) {
        Table table = table(number);
        table.lines.clear();
        Arrays.fill(table.levels, null);
        table.cleared = true;
    }

    void withdraw(long server, boolean out) {
        if (out) {
            withdrawn.add(server);
        } else {
            withdrawn.remove(server);
        }
        flips.put(server, out);
    }

    /** Whether these are all classes. */
    boolean all(int classBits) {
        return bits(classBits) == bits(0);
    }

    private int bits(int classBits) {
        int every = (1 << classes.size()) - 1;
        return classBits == 0 ? every : classBits & every;
    }

    void bind(int proxy, int number, int classBits) {
        Proxy p = proxies.get(proxy);
        if (p == null) {
            return;
        }
        table(number);
        for (int k = 0; k < classes.size(); k++) {
            if ((bits(classBits) >> k & 1) != 0) {
                p.table[k] = number;
                p.whole[k] = true;
            }
        }
    }

    void admit(int number, int classBits, double level, int retry) {
        Message.Level to = new Message.Level(level, retry);
        int which = bits(classBits);
        Message.Level[] at = number == ALL ? forAll : table(number).levels;
        for (int k = 0; k < at.length; k++) {
            at[k] = (which >> k & 1) != 0 ? to : at[k];
        }
        if (number == ALL) {
            changedForAll |= which;
        } else {
            table(number).changedLevels |= which;
        }
    }

    void mark(int number, boolean toAll) {
        mark = number;
        markAll = toAll;
    }

    /** Gives each proxy's message of the turn, and starts the next turn. */
    void turn(long now, BiConsumer<Integer, byte[]> send) {
        boolean quiet = flips.isEmpty() && changedForAll == 0 && mark < 0
                && tables.values().stream().noneMatch(Table::touched);
        proxies.forEach((id, p) -> {
            if (changedForAll != 0) {
                p.toldAll &= ~changedForAll;
            }
            List<Message.Part> parts = quiet && !any(p.whole) && p.lacks == null ? List.of() : parts(p);
            if (!parts.isEmpty()) {
                if (parts.stream().anyMatch(part -> part.ticket() >= 0)) {
                    p.marks.add(new long[] {mark, now});
                    if (p.marks.size() > MOST_MARKS) {
                        p.marks.poll();
                    }
                }
                send.accept(id, Message.write(parts));
            }
            Arrays.fill(p.whole, false);
            p.lacks = null;
            p.words = Map.of();
        });
        tables.values().forEach(t -> {
            t.changed.clear();
            t.changedLevels = 0;
            t.cleared = false;
        });
        flips.clear();
        changedForAll = 0;
        mark = -1;
        markAll = false;
    }

    /**
     * Takes a proxy's answer to a mark: false where that mark was not ordered on its stream, was answered
     * before, or would have taken longer than it is out. Guards the pace of the channel against spoilt
     * answers, which the module takes at their word.
     */
    boolean answered(long now, int proxy, int number, long tookUs) {
        Proxy p = proxies.get(proxy);
        if (p == null || p.marks.stream().noneMatch(m -> m[0] == number && tookUs <= now - m[1])) {
            return false;
        }
        while (p.marks.poll()[0] != number) {
            continue;
        }
        return true;
    }

    private static boolean any(boolean[] flags) {
        for (boolean f : flags) {
            if (f) {
                return true;
            }
        }
        return false;
    }

    /** What holds for a class: of a table's level and that for all the lower, with the table's own retry. */
    private Message.Level level(Table table, int grade) {
        Message.Level own = table == null ? null : table.levels[grade];
        Message.Level all = forAll[grade];
        return own == null ? all : all == null ? own
                : new Message.Level(Math.min(own.level(), all.level()), own.retry());
    }

    private List<Message.Part> parts(Proxy p) {
        List<Message.Part> out = new ArrayList<>();
        // Classes with the same table and the same need of it share their lines.
        Map<List<Object>, Integer> groups = new LinkedHashMap<>();
        for (int k = 0; k < classes.size(); k++) {
            Table table = p.table[k] == UNBOUND ? null : tables.get(p.table[k]);
            boolean whole = table != null && (p.whole[k] || table.cleared);
            groups.merge(List.of(p.table[k], whole), 1 << k, (a, b) -> a | b);
        }
        groups.forEach((key, which) -> part(out, p, which, (Integer) key.get(0), (Boolean) key.get(1)));
        List<String> shut = new ArrayList<>();
        List<String> back = new ArrayList<>();
        withdrawals(p).forEach((server, isOut) -> {
            (isOut ? shut : back).add(names.apply(server));
            p.told.put(server, isOut);
        });
        boolean ticket = mark >= 0 && (markAll || !out.isEmpty() || !shut.isEmpty() || !back.isEmpty());
        if (ticket || !shut.isEmpty() || !back.isEmpty()) {
            Message.Part last = out.isEmpty() ? new Message.Part(null, false, Map.of(), null, shut, back, -1)
                    : out.remove(out.size() - 1);
            out.add(new Message.Part(last.classes(), last.whole(), last.lines(), last.level(), shut, back,
                    ticket ? mark : -1));
        }
        // Levels for all go along with the next message to who has not heard them.
        if (!out.isEmpty() || changedForAll != 0) {
            forAll(out, p);
        }
        return out;
    }

    /** The lines of one table, and the levels of its classes, for the classes that share them. */
    private void part(List<Message.Part> out, Proxy p, int which, int number, boolean whole) {
        if (number == UNBOUND) {
            return;
        }
        Table table = tables.get(number);
        Map<String, Double> lines = new LinkedHashMap<>();
        boolean lacks = !whole && p.lacks != null;
        if (lacks) {
            lines.putAll(p.lacks.lines());
        }
        for (long server : whole ? table.lines.keySet() : table.changed) {
            lines.put(names.apply(server), table.lines.getOrDefault(server, 0.0));
        }
        Map<Message.Level, Integer> levels = new LinkedHashMap<>();
        for (int k = 0; k < classes.size(); k++) {
            boolean due = whole || lacks && p.lacks.levels().containsKey(k)
                    || ((table.changedLevels | changedForAll) >> k & 1) != 0;
            if ((which >> k & 1) != 0 && due && level(table, k) != null) {
                levels.merge(level(table, k), 1 << k, (a, b) -> a | b);
            }
        }
        boolean one = levels.size() == 1 && levels.containsValue(which);
        Message.Level with = one ? levels.keySet().iterator().next() : null;
        List<Map<String, Double>> pieces = pieces(lines);
        for (int i = 0; i < pieces.size(); i++) {
            boolean last = i == pieces.size() - 1;
            if (whole && i == 0 || !pieces.get(i).isEmpty() || with != null) {
                out.add(new Message.Part(classes(which), whole && i == 0, pieces.get(i), last ? with : null,
                        List.of(), List.of(), -1));
            }
        }
        if (!one) {
            levels.forEach((level, bits) -> out.add(new Message.Part(classes(bits), false, Map.of(), level,
                    List.of(), List.of(), -1)));
        }
    }

    /** Levels for all, for classes for which the proxy goes by what it brought along. */
    private void forAll(List<Message.Part> out, Proxy p) {
        Map<Message.Level, Integer> levels = new LinkedHashMap<>();
        for (int k = 0; k < classes.size(); k++) {
            if (p.table[k] == UNBOUND && forAll[k] != null && (p.toldAll >> k & 1) == 0) {
                levels.merge(forAll[k], 1 << k, (a, b) -> a | b);
                p.toldAll |= 1 << k;
            }
        }
        levels.forEach((level, bits) -> out.add(0, new Message.Part(classes(bits), false, Map.of(), level,
                List.of(), List.of(), -1)));
    }

    private static List<Map<String, Double>> pieces(Map<String, Double> lines) {
        List<Map<String, Double>> out = new ArrayList<>(List.of(new LinkedHashMap<>()));
        lines.forEach((server, weight) -> {
            if (out.get(out.size() - 1).size() == PART_LINES) {
                out.add(new LinkedHashMap<>());
            }
            out.get(out.size() - 1).put(server, weight);
        });
        return out;
    }

    private List<String> classes(int which) {
        if (which == bits(0)) {
            return null;
        }
        List<String> out = new ArrayList<>();
        for (int k = 0; k < classes.size(); k++) {
            if ((which >> k & 1) != 0) {
                out.add(classes.get(k));
            }
        }
        return out;
    }

    /**
     * What the proxy must hear of withdrawals this turn: those ordered now, where they concern it, and for
     * each server that a table of ours brings it now, how that one stands. A proxy keeps withdrawals over
     * streams and over our restarts: without the word that a server is back, one shut out long ago would stay
     * so. Where the module is sure of a proxy it goes for doubted servers only: the words count in the queue.
     */
    private Map<Long, Boolean> withdrawals(Proxy p) {
        Map<Long, Boolean> out = new TreeMap<>();
        out.putAll(p.words);
        boolean unbound = p.unbound();
        flips.forEach((server, isOut) -> {
            // Who holds it by no table hears once a table brings it; the module counts no line for them.
            boolean holds = unbound;
            for (int number : p.table) {
                holds |= number != UNBOUND && tables.get(number).lines.containsKey(server);
            }
            if (holds) {
                out.put(server, isOut);
            }
        });
        for (int k = 0; k < p.table.length; k++) {
            Table table = p.table[k] == UNBOUND ? null : tables.get(p.table[k]);
            if (table != null) {
                Set<Long> brought = p.whole[k] ? table.lines.keySet() : table.changed;
                brought.stream().filter(table.lines::containsKey)
                        .filter(s -> withdrawn.contains(s)
                                || doubted.containsKey(s) && (doubted.get(s) || !p.sure))
                        .forEach(s -> out.put(s, withdrawn.contains(s)));
            }
        }
        out.entrySet().removeIf(e -> e.getValue().equals(p.told.get(e.getKey())));
        return out;
    }
}
