package pearusher.serve;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tinylog.Logger;
import pearusher.Assigner;
import pearusher.intake.Item;
import pearusher.intake.Sums;
import pearusher.recovery.Level;
import pearusher.recovery.Rejoin;

/**
 * The only place where the server side, the client side and the module meet. It owns the module, its clock
 * and its timers, and the one thread on which the module runs: events wait in a queue, those of one tick make
 * a turn, close is called once a turn, and the turn's orders go out. It must never do input or output itself,
 * decide anything, nor go on after the module failed.
 */
class Exchange implements Assigner.Orders {
    /** Reports that may wait; more are dropped and counted, so that a flood can't fill the memory. */
    private static final int MOST_REPORTS = 20_000;
    /** Most ticks of the settings for which a turn waits for more of a burst. */
    private static final int MOST_TICKS = 4;
    private static final Pattern SERVER = Pattern.compile("\\bserver ([0-9a-f]+)\\b");

    /** A proxy's stream, on the server side. Calls come from the decision thread and must not block. */
    interface Stream {
        void send(byte[] message);

        /** A newer stream of the same proxy took its place. */
        void replaced();

        /** Its place among all connections taken: of two of a proxy the later one is the newer. */
        default long taken() {
            return 0;
        }
    }

    /** The client side. */
    interface Calls {
        void watch(boolean on, long since);

        void fetch();

        void probe(long server, String hostPort);
    }

    /** The way to other assigners; peer -1: all. */
    interface Mail {
        void tell(int peer, byte[] body);
    }

    private record Timer(long due, long order, long token) { }

    private final Config config;
    private final LongSupplier clock;
    private final Consumer<Throwable> failed;
    private final BiFunction<Assigner.Settings, Assigner.Orders, Assigner> maker;
    private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final AtomicInteger reports = new AtomicInteger();
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicBoolean flooded = new AtomicBoolean();

    // All below belongs to the decision thread.
    private final Map<String, Long> ids = new HashMap<>();
    /** Names by number; a number is never used again for another server. */
    private final Map<Long, String> servers = new HashMap<>();
    private final Map<Long, Message.Instance> addresses = new HashMap<>();
    private final Map<Integer, Stream> streams = new HashMap<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> a.due() != b.due()
            ? Long.compare(a.due(), b.due()) : Long.compare(a.order(), b.order()));
    private final Tables tables;
    /** What lasts, where the operators switched it on; else null. */
    private final Durable durable;
    /** Where reports wait, where the operators switched it on; else null, and they wait in the queue. */
    private final Waiting intake;
    private Consumer<Item> hearing = item -> { };
    private Assigner module;
    private Calls calls;
    private Mail mail;
    private long now;
    private long timersMade;
    private long generation;
    /** Since when discovery has begun its watches with older lists only; -1: it does not. */
    private long olderSince = -1;
    private long serversMade;
    /** Answers to marks that could not be. */
    private long answers;
    /** The module has asked for a watch that has not failed since. */
    private boolean watching;

    Exchange(Config config, BiFunction<Assigner.Settings, Assigner.Orders, Assigner> maker,
            LongSupplier clock, Consumer<Throwable> failed) {
        this(config, maker, clock, failed, null, null);
    }

    Exchange(Config config, BiFunction<Assigner.Settings, Assigner.Orders, Assigner> maker,
            LongSupplier clock, Consumer<Throwable> failed, Durable durable, Waiting intake) {
        this.durable = durable;
        this.intake = intake;
        this.config = config;
        this.clock = clock;
        this.failed = failed;
        this.maker = maker;
        tables = new Tables(config.names().classes(), servers::get);
    }

    /** Microseconds of Unix time, read once and carried on by a clock that never runs back. */
    static LongSupplier unixClock() {
        long base = System.currentTimeMillis() * 1000;
        long start = System.nanoTime();
        return () -> base + (System.nanoTime() - start) / 1000;
    }

    void connect(Calls client, Mail peers) {
        calls = client;
        mail = peers;
    }

    /** Starts the module with the list last known and takes its first turn, on the caller's thread. */
    void begin() {
        now = clock.getAsLong();
        module = maker.apply(config.settings(), this);
        Message.Listing known = durable == null ? config.known() : durable.known();
        list(Assigner.ListForm.CACHED, known);
        if (durable != null) {
            durable.restore(now, known, ids, tables, module);
        }
        if (!config.settings().listOnRequest()) {
            // Where changes come unasked the module doesn't ask for them.
            watch(true);
        }
        close();
    }

    /** The decision thread's work, until it is interrupted or the module fails. */
    void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                turn();
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error failure) {
            failed.accept(failure);
        }
    }

    /** Waits for an event or a timer; what comes without a tick's pause is one turn. */
    void turn() throws InterruptedException {
        long wait = timers.isEmpty() ? Long.MAX_VALUE : timers.peek().due() - clock.getAsLong();
        boolean flooded = intake != null && intake.flooded();
        wait = flooded ? Math.min(wait, Waiting.SERVE_US) : wait;
        Runnable first = wait <= 0 ? queue.poll() : queue.poll(wait, TimeUnit.MICROSECONDS);
        if (first != null) {
            gather();
        }
        boolean acted = first != null;
        now = Math.max(now, clock.getAsLong());
        // A flood makes several turns, so that timers and orders are not held up by it.
        for (int k = 1; first != null; k++) {
            first.run();
            first = k < MOST_REPORTS ? queue.poll() : null;
        }
        if (flooded) {
            intake.serve(now, this::hear);
            acted = true;
        }
        while (!timers.isEmpty() && timers.peek().due() <= now) {
            module.timer(now, timers.poll().token());
            acted = true;
        }
        if (acted) {
            close();
        }
    }

    /**
     * Lets the rest of a burst come: the reports of one instant reach the simulator's module in one batch,
     * here by several connections within some milliseconds. Guards against a pass that sees a part of a
     * period's reports and keeps the others for the next. While events keep coming it ends after a few ticks.
     */
    private void gather() throws InterruptedException {
        int before = -1;
        for (int tick = 0; tick < MOST_TICKS && queue.size() != before; tick++) {
            before = queue.size();
            pause();
        }
    }

    void pause() throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep(config.settings().tickUs());
    }

    private void close() {
        module.close(now);
        if (durable == null) {
            tables.turn(now, (proxy, message) -> streams.get(proxy).send(message));
        } else {
            tables.turn(now, (proxy, message) -> durable.send(proxy, streams.get(proxy), message));
            durable.turn(now);
        }
    }

    // Events, from any thread.

    /** Work for the decision thread, at the next turn. */
    void event(Runnable what) {
        queue.add(what);
    }

    long dropped() {
        return dropped.get();
    }

    int waiting() {
        return queue.size();
    }

    /**
     * Guards against joinings that are read in another order than they came: a proxy that was cut off right
     * after it joined dials again, and both connections may be read at once. The dead one would take the
     * place of the good one, and its end would unseat the proxy.
     */
    void joined(Stream stream, Message.Joined what) {
        event(() -> {
            Stream old = streams.get(what.proxy());
            if (old != null && old.taken() > stream.taken()) {
                stream.replaced();
                return;
            }
            streams.put(what.proxy(), stream);
            if (old != null) {
                module.left(now, what.proxy());
                old.replaced();
            }
            tables.joined(what.proxy());
            module.joined(now, what.proxy(), what.zone(), what.perS(), what.fresh());
            Rejoin lacks = durable == null ? null : durable.joined(what.proxy(), what.fresh());
            if (lacks != null) {
                tables.told(what.proxy(), numbers(lacks.told()));
                module.holds(now, what.proxy(), lacks.table(), lacks.cost());
            }
        });
    }

    /** Servers by number, those that are still listed. */
    private Map<Long, Boolean> numbers(Map<String, Boolean> byName) {
        Map<Long, Boolean> out = new TreeMap<>();
        byName.forEach((name, value) -> {
            if (ids.containsKey(name)) {
                out.put(ids.get(name), value);
            }
        });
        return out;
    }

    /** A stream ended; one whose proxy has joined anew since then unseats nobody. */
    void ended(Stream stream, int proxy) {
        event(() -> {
            if (streams.remove(proxy, stream)) {
                tables.left(proxy);
                module.left(now, proxy);
                if (durable != null) {
                    durable.left(proxy);
                }
            }
        });
    }

    /** Counted with the reports: a proxy that answers without end fills no memory either. */
    void applied(Stream stream, Message.Applied what) {
        report(() -> {
            if (streams.get(what.proxy()) != stream) {
                return;
            }
            if (!tables.answered(now, what.proxy(), what.mark(), what.tookUs())) {
                if (Long.bitCount(++answers) == 1) {
                    Logger.warn("answers dropped: {} so far, the last of proxy {}: no mark {} is {} us old",
                            answers, what.proxy(), what.mark(), what.tookUs());
                }
            } else {
                if (durable != null) {
                    durable.applied(what.proxy(), what.mark());
                }
                module.applied(now, what.proxy(), what.mark(), what.tookUs());
            }
        });
    }

    private void report(Runnable what) {
        if (reports.incrementAndGet() > MOST_REPORTS) {
            reports.decrementAndGet();
            dropped.incrementAndGet();
            if (flooded.compareAndSet(false, true)) {
                Logger.warn("reports dropped: {} wait, more are dropped from here on", MOST_REPORTS);
            }
            return;
        }
        event(() -> {
            // Over once half of them are through: at the brim it would begin and end with each report.
            if (reports.decrementAndGet() <= MOST_REPORTS / 2 && flooded.compareAndSet(true, false)) {
                Logger.warn("reports dropped no more: {} in all", dropped.get());
            }
            what.run();
        });
    }

    /** A report on a server that no list has named yet is dropped: the proxies' list may be newer. */
    void heard(Message.Heard what) {
        heard(what, -1);
    }

    /** {@code origin}: the proxy, or a number below 0 that is the collector's own. */
    void heard(Message.Heard what, int origin) {
        if (intake != null) {
            intake.offer(new Item(origin, new Item.Tries(what.server(), what.zone()), Sums.of(what.tries(),
                    what.failed(), what.meanUs(), what.spanUs(), what.load())), this::wake);
            return;
        }
        report(() -> {
            Long server = ids.get(what.server());
            if (server != null) {
                module.heard(now, server, what.zone(), what.tries(), what.failed(), what.spanUs(),
                        what.meanUs(), what.load());
            }
        });
    }

    void usage(Message.Usage what) {
        usage(what, what.proxy());
    }

    void usage(Message.Usage what, int origin) {
        if (intake != null) {
            // Those that failed may be more than came: there is no mean to be weighted by the good ones.
            intake.offer(new Item(origin, new Item.Requests(what.proxy(), what.grade()),
                    new Sums(what.tries(),
                    what.failed(), 0, what.spanUs(), 1, new float[0], 0)), this::wake);
            return;
        }
        report(() -> module.usage(now, what.proxy(), what.grade(), what.tries(), what.failed(),
                what.spanUs()));
    }

    private void wake() {
        event(() -> intake.next(now, this::hear));
    }

    /** Tells a test of each report that has its turn, on the decision thread. */
    void hearing(Consumer<Item> listener) {
        hearing = listener;
    }

    /** A report has its turn. A server that no list has named yet is passed over, as ever. */
    private void hear(Item item) {
        Sums sums = item.sums();
        hearing.accept(item);
        if (item.about() instanceof Item.Requests requests) {
            // A rate of long ago says nothing of now, whatever it is counted for.
            if (item.ageUs() > Waiting.OLD_USAGE_PERIODS * config.settings().periodUs()) {
                return;
            }
            module.usage(now, requests.proxy(), requests.grade(), sums.tries(), sums.failed(), sums.spanUs());
        } else if (item.about() instanceof Item.Tries tries && ids.containsKey(tries.server())) {
            if (item.ageUs() == 0) {
                module.heard(now, ids.get(tries.server()), tries.zone(), sums.tries(), sums.failed(),
                        sums.spanUs(), sums.meanUs(), sums.load());
                return;
            }
            module.heard(now, ids.get(tries.server()), tries.zone(), sums.tries(), sums.failed(),
                    sums.spanUs(), sums.meanUs(), sums.load(), item.ageUs());
        }
    }

    /** What discovery says, on a watch or as the whole list; older than what is held: passed over. */
    void listed(Message.Listing what, boolean begins) {
        listed(what, begins, () -> true);
    }

    /**
     * {@code begins}: the first line of a watch; {@code counts}: whether its call still does, asked in its
     * turn. Guards against the last words of a watch that was moved, which its reader may hand over after the
     * new one's first: a whole list of theirs would count as a discovery that started anew.
     */
    void listed(Message.Listing what, boolean begins, BooleanSupplier counts) {
        event(() -> {
            if (!counts.getAsBoolean()) {
                return;
            }
            boolean old = what.generation() < generation;
            if (old && what.whole() && begins) {
                older(what);
                return;
            }
            olderSince = old ? olderSince : -1;
            Message.Listing use = old ? new Message.Listing(generation, false, List.of()) : what;
            list(use.whole() ? Assigner.ListForm.WHOLE : Assigner.ListForm.CHANGES, use);
        });
    }

    /**
     * A new watch begins with a whole list that is older than the one held: a discovery that lags, whose list
     * would let drained servers in again, or one that lost its count. The last good list stays and it is
     * asked again; who says nothing newer for as long as an assigner may go without asking has started anew.
     */
    private void older(Message.Listing what) {
        olderSince = olderSince < 0 ? now : olderSince;
        if (now - olderSince >= config.settings().limits().askWithinUs()) {
            Logger.warn("discovery began anew: generation {} after {}", what.generation(), generation);
            olderSince = -1;
            list(Assigner.ListForm.WHOLE, what);
            return;
        }
        if (olderSince == now) {
            Logger.warn("discovery older: generation {} after {}, passed over", what.generation(),
                    generation);
        }
        calls.watch(false, generation);
        watching = false;
        module.listed(now, Assigner.ListForm.FAILED, List.of());
    }

    /** A call to discovery, or the watch, ended without what it was for. */
    void listFailed() {
        listFailed(() -> true);
    }

    /** The end of a watch that was moved meanwhile must not count as the end of the new one. */
    void listFailed(BooleanSupplier counts) {
        event(() -> {
            if (counts.getAsBoolean()) {
                watching = false;
                module.listed(now, Assigner.ListForm.FAILED, List.of());
            }
        });
    }

    /**
     * Discovery may be elsewhere: the watch that runs is begun anew there, before the old address closes it.
     * One that has failed is asked for again by the module, and goes there by itself.
     */
    void moved() {
        event(() -> {
            if (watching) {
                calls.watch(true, generation);
            }
        });
    }

    void probed(long server, Ending ending, long tookUs, float[] load) {
        event(() -> module.probed(now, server, ending.probe(), tookUs, load));
    }

    void told(int peer, byte[] body) {
        report(() -> module.told(now, peer, body));
    }

    private void list(Assigner.ListForm form, Message.Listing what) {
        generation = what.generation();
        List<Assigner.Entry> entries = new ArrayList<>();
        for (Message.Instance one : what.instances()) {
            // That a server is gone which nobody knows says nothing, and would be kept for good.
            if (one.state() == Assigner.State.GONE && !ids.containsKey(one.server())) {
                continue;
            }
            long id = ids.computeIfAbsent(one.server(), name -> {
                servers.put(serversMade, name);
                return serversMade++;
            });
            addresses.put(id, one);
            entries.add(new Assigner.Entry(id, one.zone(), one.kind(), one.cell(), one.state(), one.weight(),
                    one.startedUs()));
        }
        if (durable != null) {
            durable.listed(what);
        }
        module.listed(now, form, entries);
    }

    // Orders, from the module.

    @Override
    public void line(int table, long server, double weight) {
        tables.line(table, server, weight);
        if (durable != null) {
            durable.ledger().line(table, servers.get(server), weight);
        }
    }

    @Override
    public void clear(int table) {
        tables.clear(table);
        if (durable != null) {
            durable.ledger().clear(table);
        }
    }

    @Override
    public void withdraw(long server, boolean out) {
        tables.withdraw(server, out);
        if (durable != null) {
            durable.ledger().withdraw(servers.get(server), out, now);
        }
    }

    @Override
    public void bind(int proxy, int table, int classBits) {
        Rejoin lacks = durable == null ? null : durable.bound(proxy, table, tables.all(classBits));
        if (lacks == null) {
            tables.bind(proxy, table, classBits);
            return;
        }
        tables.adopt(proxy, lacks, numbers(lacks.words()));
    }

    @Override
    public void sure(int proxy) {
        tables.sure(proxy);
    }

    @Override
    public void doubt(long server, boolean all) {
        tables.doubt(server, all);
    }

    @Override
    public void admit(int table, int classBits, double level, int retry) {
        tables.admit(table, classBits, level, retry);
        for (int k = 0; durable != null && k < config.names().classes().size(); k++) {
            if ((classBits == 0 || (classBits >> k & 1) != 0) && table != Tables.ALL) {
                durable.ledger().admit(table, k, new Level(level, retry));
            }
        }
    }

    @Override
    public void mark(int number, boolean toAll) {
        tables.mark(number, toAll);
        if (durable != null) {
            durable.ledger().mark(number);
        }
    }

    @Override
    public void watch(boolean on) {
        watching = on;
        calls.watch(on, generation);
    }

    @Override
    public void fetch() {
        calls.fetch();
    }

    @Override
    public void probe(long server) {
        calls.probe(server, addresses.get(server).hostPort());
    }

    @Override
    public void timer(long delayUs, long token) {
        timers.add(new Timer(now + Math.max(0, delayUs), timersMade++, token));
    }

    /** Every server is replaced in time: what is kept of one goes with it. */
    @Override
    public void forget(long server) {
        if (durable != null) {
            durable.ledger().forget(servers.get(server));
        }
        ids.remove(servers.remove(server));
        addresses.remove(server);
        tables.forget(server);
    }

    /** What is kept by server, proxy and timer, for tests of what must not grow. */
    List<Integer> sizes() {
        return List.of(ids.size(), servers.size(), addresses.size(), streams.size(), timers.size(),
                tables.size());
    }

    @Override
    public void tell(long peer, byte[] body) {
        mail.tell((int) peer, body);
    }

    /** The module names servers by number, the log as discovery does. */
    @Override
    public void log(String text) {
        Matcher at = SERVER.matcher(text);
        Logger.info(at.replaceAll(m -> {
            long id = Long.parseLong(m.group(1), 16);
            return Matcher.quoteReplacement("server " + servers.getOrDefault(id, m.group(1)));
        }));
    }
}
