package pearusher.serve;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.tinylog.Logger;

/**
 * The server side: the listening socket and every connection to it, whether of a proxy, a collector or a
 * stranger. It reads messages and hands them to the exchange, and writes what that gives it, never waiting
 * for a reader; strangers get a bounded time from connecting, whatever they send. It must never close the
 * stream of a proxy that is merely quiet or said something spoilt, nor know the module or discovery.
 */
final class Streams extends SelectorManager {
    /** Bytes that a proxy may leave unread here, beyond what the kernel holds, until its stream is ended. */
    private static final int MOST_UNREAD = 512 << 10;
    /** Descriptors kept for calls, probes and what is accepted before others are seen to end. */
    private static final int RESERVE = 40;
    /**
     * Connections taken before the selector turns to those it has: closed ones free their descriptors
     * there.
     */
    private static final int MOST_ACCEPTS = 16;
    /** Bytes that a stranger's message may have: a joining needs a hundred. */
    private static final int MOST_STRANGE = 8 << 10;
    /** Silences (of discovery's time-outs) in which a message on a seated connection must be whole. */
    private static final int HALF_SILENCES = 6;
    /** A stranger's time is looked at so many times while it runs. */
    private static final int LOOKS = 16;

    private volatile Config config;
    private final Exchange exchange;
    private final Scheduler scheduler;
    /** Guards all that the links share, itself included. */
    private final Set<Link> strangers = new LinkedHashSet<>();
    /** Seated connections that owe the rest of a message. */
    private final Set<Link> halves = new LinkedHashSet<>();
    /** Who waits for a pong until this assigner is ready. */
    private final Set<Link> pinging = new LinkedHashSet<>();
    private final ThreadLocal<ByteBuffer> buffers = ThreadLocal.withInitial(
            () -> ByteBuffer.allocate(16 << 10));
    private ServerSocketChannel server;
    /** Connections accepted and not closed yet, and those of them that are not open yet. */
    private int links;
    private int coming;
    private int accepts;
    /** Connections taken since the start; the selector's own thread counts them. */
    private long taken;
    /** Descriptors that the process held before the first connection. */
    private int held;
    private long refused;
    private long spoilt;
    private boolean ready;
    private volatile boolean stopping;

    Streams(Config config, Exchange exchange, Executor executor, Scheduler scheduler) {
        super(executor, scheduler, 1);
        this.config = config;
        this.exchange = exchange;
        this.scheduler = scheduler;
        // One that ends before it is open never becomes a link, and would be counted for ever.
        addEventListener(new AcceptListener() {
            @Override
            public void onAcceptFailed(SelectableChannel channel, Throwable cause) {
                synchronized (strangers) {
                    links--;
                    coming--;
                }
            }
        });
    }

    /** Listens; the port is taken from here on, but no ping is answered before {@link #ready}. */
    InetSocketAddress listen() throws Exception {
        server = ServerSocketChannel.open();
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(config.listen(), 1024);
        server.configureBlocking(false);
        start();
        String[] files = new File("/proc/self/fd").list();
        held = files == null ? RESERVE : files.length;
        acceptor(server);
        look();
        return (InetSocketAddress) server.getLocalAddress();
    }

    /** Time limits and descriptors of a new configuration; those who are connected stay. */
    void reload(Config now) {
        config = now;
    }

    /** Connections that may be held at once. */
    int most() {
        return Math.max(16, config.sockets() - held - RESERVE);
    }

    /** Ends the strangers whose time is over, again and again. */
    private void look() {
        int limitMs = config.timeouts().strangerMs();
        List<Link> over = new ArrayList<>();
        synchronized (strangers) {
            long now = System.nanoTime();
            for (Link one : strangers) {
                long mayMs = one.proxy >= 0 ? Math.max(limitMs, config.timeouts().silentMs()) : limitMs;
                if (now - one.sinceNs >= mayMs * 1_000_000L && (ready || !pinging.contains(one))) {
                    over.add(one);
                }
            }
            long halfNs = (long) HALF_SILENCES * config.timeouts().silentMs() * 1_000_000L;
            halves.stream().filter(one -> now - one.halfNs >= halfNs).forEach(over::add);
        }
        over.forEach(one -> one.end(Ending.SILENT, null));
        if (!stopping) {
            scheduler.schedule(() -> getExecutor().execute(this::look), Math.max(1, limitMs / LOOKS),
                    TimeUnit.MILLISECONDS);
        }
    }

    /** From now on pings are answered, those that wait first. */
    void ready() {
        List<Link> waiting;
        synchronized (strangers) {
            ready = true;
            waiting = List.copyOf(pinging);
            pinging.clear();
            waiting.forEach(one -> one.sinceNs = System.nanoTime());
        }
        waiting.forEach(Link::pong);
    }

    @Override
    protected void doStop() throws Exception {
        if (server != null) {
            server.close();
        }
        stopping = true;
        super.doStop();
    }

    /**
     * The next connection. Where descriptors run short the strangest goes for it: one that has said nothing
     * before one that has begun to, the longest connected first. While those in the way are still closing
     * newcomers wait in the kernel; where proxies and collectors hold everything they are closed at once.
     */
    @Override
    protected SelectableChannel doAccept(SelectableChannel listening) throws IOException {
        synchronized (strangers) {
            accepts = accepts == MOST_ACCEPTS ? 0 : accepts + 1;
            if (accepts == 0 || links >= most() && strangers.isEmpty() && coming > 0) {
                accepts = 0;
                return null;
            }
        }
        // Only who has come needs a place: the last look, at an empty queue, must cost nobody his.
        SelectableChannel made = super.doAccept(listening);
        if (made == null) {
            accepts = 0;
            return null;
        }
        Link out;
        synchronized (strangers) {
            if (links < most()) {
                return made;
            }
            out = strangest();
        }
        if (out == null) {
            made.close();
            accepts = 0;
            refused("a newcomer", "no descriptor is left");
            return null;
        }
        out.evict();
        return made;
    }

    /** Who goes for a newcomer, and is a stranger no more; null: nobody can. */
    Link strangest() {
        synchronized (strangers) {
            Link out = strangers.stream().filter(l -> !l.begun).findFirst()
                    .orElse(strangers.isEmpty() ? null : strangers.iterator().next());
            strangers.remove(out);
            return out;
        }
    }

    @Override
    protected void accepted(SelectableChannel channel) throws IOException {
        channel.configureBlocking(false);
        ((SocketChannel) channel).setOption(StandardSocketOptions.TCP_NODELAY, true);
        synchronized (strangers) {
            links++;
            coming++;
        }
        accept(channel, ++taken);
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new PlainEndPoint(channel, selector, key, scheduler);
    }

    @Override
    public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
        return new Link(endPoint, getExecutor(), (Long) attachment);
    }

    private void closed(Link link) {
        synchronized (strangers) {
            if (!link.closed) {
                links--;
                coming -= link.opened ? 0 : 1;
            }
            strangers.remove(link);
            halves.remove(link);
            pinging.remove(link);
            link.closed = true;
        }
    }

    /** Strangers turned away for what they sent, told at 1, 2, 4, 8 ...: they come by hundreds. */
    private void refused(String who, String why) {
        long so;
        synchronized (strangers) {
            so = ++refused;
        }
        if (Long.bitCount(so) == 1) {
            Logger.warn("strangers refused: {} so far, the last was {}: {}", so, who, why);
        }
    }

    /** Messages on good connections that were dropped, told in the same way. */
    private void spoilt(String who, String why) {
        long so;
        synchronized (strangers) {
            so = ++spoilt;
        }
        if (Long.bitCount(so) == 1) {
            Logger.warn("messages dropped: {} so far, the last from {}: {}", so, who, why);
        }
    }

    /** Connections that hold a descriptor, for tests of what must not grow. */
    int links() {
        synchronized (strangers) {
            return links;
        }
    }

    private final AtomicInteger origins = new AtomicInteger();

    /**
     * One connection. Who has not said what it is counts as a stranger: whatever else it sends ends it. On a
     * seated one a message that makes no sense costs that message alone, since its end would leave a proxy's
     * time limits running; what can't be framed ends it.
     */
    final class Link extends AbstractConnection implements Exchange.Stream {
        private final Resp.Reader reader = new Resp.Reader(MOST_STRANGE);
        private final ArrayDeque<byte[]> unsent = new ArrayDeque<>();
        private final IteratingCallback writer = new Writer();
        private long unsentBytes;
        private int pings;
        /** It has said what it is, the first and only time. */
        private volatile boolean seated;
        private volatile boolean collector;
        /** A collector's own number, for the shares of a flood. */
        private final int origin = -1 - origins.getAndIncrement();
        private volatile int proxy = -1;
        private Ending ending;
        /** Some bytes of it came. */
        private volatile boolean begun;
        /** Its place among all that were taken; links are made by several threads, in any order. */
        private final long taken;
        /** Guarded by the strangers' lock, with when it became a stranger. */
        private boolean opened;
        private boolean evicted;
        private boolean closed;
        private long sinceNs;
        private long halfNs;

        Link(EndPoint endPoint, Executor executor, long taken) {
            super(endPoint, executor);
            this.taken = taken;
        }

        private final class Writer extends IteratingCallback {
            @Override
            protected Action process() {
                byte[] next;
                synchronized (unsent) {
                    next = unsent.poll();
                }
                if (next == null) {
                    return Action.IDLE;
                }
                int size = next.length;
                getEndPoint().write(Callback.from(() -> {
                    synchronized (unsent) {
                        unsentBytes -= size;
                    }
                    succeeded();
                }, this::failed), ByteBuffer.wrap(next));
                return Action.SCHEDULED;
            }

            @Override
            protected void onCompleteFailure(Throwable cause) {
                end(Ending.ofFailure(cause), null);
            }
        }

        @Override
        public void onOpen() {
            super.onOpen();
            synchronized (strangers) {
                if (!closed) {
                    opened = true;
                    coming--;
                    sinceNs = System.nanoTime();
                    strangers.add(this);
                }
            }
            fillInterested();
        }

        @Override
        public void onFillable() {
            ByteBuffer buffer = buffers.get();
            try {
                boolean any = false;
                // A sender without pause gives way to others after so many reads.
                for (int round = 0; round < 16; round++) {
                    buffer.clear().flip();
                    int n = getEndPoint().fill(buffer);
                    if (n < 0) {
                        end(Ending.CLOSED, null);
                        return;
                    }
                    if (n == 0) {
                        break;
                    }
                    begun = true;
                    List<String> words;
                    while ((words = reader.next(buffer)) != null) {
                        any = true;
                        try {
                            message(Message.read(words, config.names(), config.settings()));
                        } catch (Message.Fault e) {
                            if (!seated) {
                                throw e;
                            }
                            spoilt(who(), e.getMessage());
                        }
                    }
                }
                owes(any);
                fillInterested();
            } catch (Resp.Fault e) {
                end(e.ending(), e.getMessage());
            } catch (Message.Fault e) {
                end(Ending.GARBAGE, e.getMessage());
            } catch (IOException e) {
                end(Ending.RESET, null);
            } catch (RuntimeException e) {
                Logger.error(e, "a fault of our own while reading");
                end(Ending.GARBAGE, "it could not be read");
            }
        }

        /**
         * Notes since when the rest of a message is due. A good stream may be quiet for ever, but not in the
         * midst of a message: who stops there is gone or can't be read any more, and would hold its place.
         */
        private void owes(boolean any) {
            synchronized (strangers) {
                if (!seated || closed || !reader.half()) {
                    halves.remove(this);
                } else if (halves.add(this) || any) {
                    halfNs = System.nanoTime();
                }
            }
        }

        private void message(Message message) throws Message.Fault {
            if (message instanceof Message.Ping) {
                boolean now;
                synchronized (strangers) {
                    pings++;
                    now = ready;
                    if (!now) {
                        pinging.add(this);
                    }
                }
                if (now) {
                    pong();
                }
            } else if (!seated && message instanceof Message.Collector) {
                collector = true;
                seat(() -> { });
            } else if (!seated && message instanceof Message.Joined joined) {
                seat(() -> {
                    proxy = joined.proxy();
                    exchange.joined(this, joined);
                });
            } else if (message instanceof Message.Applied applied && seated && proxy == applied.proxy()) {
                exchange.applied(this, applied);
            } else if (message instanceof Message.Heard heard && collector) {
                exchange.heard(heard, origin);
            } else if (message instanceof Message.Usage usage && (collector || seated
                    && proxy == usage.proxy())) {
                exchange.usage(usage, collector ? origin : usage.proxy());
            } else {
                throw new Message.Fault("no place for " + message);
            }
        }

        /**
         * It is no stranger any more. Guards against a join that is read while the connection is being
         * closed: the module would keep a proxy whose end nobody tells.
         */
        private void seat(Runnable how) {
            synchronized (strangers) {
                if (closed || evicted) {
                    return;
                }
                strangers.remove(this);
                seated = true;
                reader.most(Resp.MOST);
                how.run();
            }
        }

        private void pong() {
            int due;
            synchronized (strangers) {
                due = pings;
                pings = 0;
            }
            for (int k = 0; k < due; k++) {
                send(Resp.write(List.of("pong")));
            }
        }

        @Override
        public void send(byte[] message) {
            boolean full;
            synchronized (unsent) {
                unsentBytes += message.length;
                full = unsentBytes > MOST_UNREAD;
                unsent.add(message);
            }
            if (full) {
                getExecutor().execute(() -> end(Ending.UNREAD, MOST_UNREAD + " bytes wait for it"));
            } else {
                getExecutor().execute(writer::iterate);
            }
        }

        @Override
        public long taken() {
            return taken;
        }

        /** The proxy has a newer stream: this one is closed like a stranger, a little later. */
        @Override
        public void replaced() {
            synchronized (strangers) {
                if (!closed) {
                    sinceNs = System.nanoTime();
                    strangers.add(this);
                }
            }
        }

        @Override
        public void onFillInterestedFailed(Throwable cause) {
            end(Ending.ofFailure(cause), null);
            super.onFillInterestedFailed(cause);
        }

        /** Ends it for its descriptor, but not who has joined since it was chosen: the reserve has room. */
        void evict() {
            synchronized (strangers) {
                if (seated) {
                    return;
                }
                evicted = true;
            }
            end(Ending.EVICTED, null);
        }

        /** The one way in which a connection ends, whoever ends it; the first cause counts. */
        private void end(Ending how, String why) {
            synchronized (this) {
                if (ending != null) {
                    return;
                }
                ending = how;
            }
            if (why != null && !seated) {
                refused(who(), how + ": " + why);
            } else if (why != null) {
                Logger.warn("connection of {} ended: {}: {}", who(), how, why);
            } else if (proxy >= 0 && how != Ending.CLOSED && how != Ending.DROPPED) {
                Logger.info("connection of {} ended: {}", who(), how);
            }
            getEndPoint().close();
        }

        private String who() {
            return proxy >= 0 ? "proxy " + proxy : collector ? "a collector" : "a stranger";
        }

        @Override
        public void onClose(Throwable cause) {
            super.onClose(cause);
            end(stopping ? Ending.DROPPED : cause == null ? Ending.CLOSED : Ending.ofFailure(cause), null);
            synchronized (unsent) {
                unsent.clear();
            }
            reader.close();
            closed(this);
            if (proxy >= 0) {
                exchange.ended(this, proxy);
            }
        }
    }
}
