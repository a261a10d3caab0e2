package pearusher.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
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
 * for a reader. It must never close the stream of a proxy that is merely quiet, nor know the module or
 * discovery.
 */
final class Streams extends SelectorManager {
    /** Bytes that a proxy may leave unread here, beyond what the kernel holds, until its stream is ended. */
    private static final int MOST_UNREAD = 512 << 10;
    /** Descriptors kept for files, selectors, calls and probes. */
    private static final int RESERVE = 96;

    private final Config config;
    private final Exchange exchange;
    private final Scheduler scheduler;
    /** Guards all that the links share, itself included. */
    private final Set<Link> strangers = new LinkedHashSet<>();
    /** Who waits for a pong until this assigner is ready. */
    private final Set<Link> pinging = new LinkedHashSet<>();
    private final ThreadLocal<ByteBuffer> buffers = ThreadLocal.withInitial(
            () -> ByteBuffer.allocate(16 << 10));
    private ServerSocketChannel server;
    private int links;
    private boolean ready;
    private volatile boolean stopping;

    Streams(Config config, Exchange exchange, Executor executor, Scheduler scheduler) {
        super(executor, scheduler, 1);
        this.config = config;
        this.exchange = exchange;
        this.scheduler = scheduler;
    }

    /** Listens; the port is taken from here on, but no ping is answered before {@link #ready}. */
    InetSocketAddress listen() throws Exception {
        server = ServerSocketChannel.open();
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(config.listen(), 1024);
        server.configureBlocking(false);
        start();
        acceptor(server);
        return (InetSocketAddress) server.getLocalAddress();
    }

    /** From now on pings are answered, those that wait first. */
    void ready() {
        List<Link> waiting;
        synchronized (strangers) {
            ready = true;
            waiting = List.copyOf(pinging);
            pinging.clear();
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

    @Override
    protected void accepted(SelectableChannel channel) throws IOException {
        channel.configureBlocking(false);
        ((SocketChannel) channel).setOption(StandardSocketOptions.TCP_NODELAY, true);
        accept(channel);
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        EndPoint out = new PlainEndPoint(channel, selector, key, scheduler);
        out.setIdleTimeout(config.timeouts().strangerMs());
        return out;
    }

    @Override
    public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
        return new Link(endPoint, getExecutor());
    }

    /** One more connection: where descriptors run short, the stranger that has waited longest goes. */
    private void opened(Link link) {
        Link oldest = null;
        synchronized (strangers) {
            links++;
            if (links > config.sockets() - RESERVE && !strangers.isEmpty()) {
                oldest = strangers.iterator().next();
                strangers.remove(oldest);
            }
            strangers.add(link);
        }
        if (oldest != null) {
            oldest.end(Ending.EVICTED, null);
        }
    }

    private void closed(Link link) {
        synchronized (strangers) {
            links--;
            strangers.remove(link);
            pinging.remove(link);
            link.closed = true;
        }
    }

    /** One connection. Who has not said what it is counts as a stranger and may be closed when silent. */
    private final class Link extends AbstractConnection implements Exchange.Stream {
        private final Resp.Reader reader = new Resp.Reader();
        private final ArrayDeque<byte[]> unsent = new ArrayDeque<>();
        private final IteratingCallback writer = new Writer();
        private long unsentBytes;
        private int pings;
        private volatile boolean collector;
        private volatile int proxy = -1;
        private Ending ending;
        /** Guarded by the strangers' lock. */
        private boolean closed;

        Link(EndPoint endPoint, Executor executor) {
            super(endPoint, executor);
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
            opened(this);
            fillInterested();
        }

        @Override
        public void onFillable() {
            ByteBuffer buffer = buffers.get();
            try {
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
                    List<String> words;
                    while ((words = reader.next(buffer)) != null) {
                        message(Message.read(words, config.names(), config.settings().proxies()));
                    }
                }
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
            } else if (message instanceof Message.Collector) {
                collector = true;
                seat(() -> { });
            } else if (message instanceof Message.Joined joined) {
                if (proxy >= 0 && proxy != joined.proxy()) {
                    throw new Message.Fault("proxy " + joined.proxy() + " on the stream of proxy " + proxy);
                }
                seat(() -> {
                    proxy = joined.proxy();
                    exchange.joined(this, joined);
                });
            } else if (message instanceof Message.Applied applied) {
                if (proxy != applied.proxy()) {
                    throw new Message.Fault("applied by proxy " + applied.proxy() + " on another's stream");
                }
                exchange.applied(this, applied);
            } else if (message instanceof Message.Heard heard) {
                exchange.heard(heard);
            } else if (message instanceof Message.Usage usage) {
                exchange.usage(usage);
            }
        }

        /**
         * It is no stranger any more. Guards against a join that is read while the connection is being
         * closed: the module would keep a proxy whose end nobody tells.
         */
        private void seat(Runnable how) {
            synchronized (strangers) {
                if (closed) {
                    return;
                }
                strangers.remove(this);
                how.run();
            }
            getEndPoint().setIdleTimeout(0);
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

        /** The proxy has a newer stream: this one is a stranger again, and closed once it stays silent. */
        @Override
        public void replaced() {
            synchronized (strangers) {
                if (!closed) {
                    strangers.add(this);
                }
            }
            getEndPoint().setIdleTimeout(config.timeouts().strangerMs());
        }

        @Override
        protected boolean onReadTimeout(TimeoutException timeout) {
            end(Ending.SILENT, null);
            return false;
        }

        @Override
        public void onFillInterestedFailed(Throwable cause) {
            if (!(cause instanceof TimeoutException)) {
                end(Ending.ofFailure(cause), null);
            }
            super.onFillInterestedFailed(cause);
        }

        /** The one way in which a connection ends, whoever ends it; the first cause counts. */
        private void end(Ending how, String why) {
            synchronized (this) {
                if (ending != null) {
                    return;
                }
                ending = how;
            }
            if (why != null) {
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
