package pearusher.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.util.thread.Scheduler;
import pearusher.config.AssignerConfig;
import pearusher.config.Timeouts;
import pearusher.control.Controller;

/**
 * The server side: the listening socket, which connections it takes ({@link AcceptPolicy}) and how
 * long they may stay unidentified ({@link ConnectionRegistry}). Each {@link StreamConnection} hands
 * its messages to the exchange and writes what that gives it, never waiting for a reader;
 * unidentified ones get a bounded time from connecting, whatever they send. It must never close the
 * stream of a proxy that is merely quiet or said something spoilt, nor know the module or
 * discovery.
 */
public final class StreamServer extends SelectorManager {
  /** The time of unidentified connections is looked at so many times while it runs. */
  private static final int LOOKS = 16;

  private volatile AssignerConfig config;
  private final Scheduler scheduler;
  private final ConnectionRegistry registry = new ConnectionRegistry();
  private final RejectionLog log = new RejectionLog(registry);
  private final AcceptPolicy policy;
  private final StreamConnection.Shared shared;
  private final AtomicInteger origins = new AtomicInteger();
  private ServerSocketChannel server;

  /** Connections taken since the start; the selector's own thread counts them. */
  private long taken;

  private volatile boolean stopping;

  public StreamServer(
      AssignerConfig config, Controller exchange, Executor executor, Scheduler scheduler) {
    super(executor, scheduler, 1);
    this.config = config;
    this.scheduler = scheduler;
    policy = new AcceptPolicy(registry, () -> this.config.maxDescriptors());
    shared =
        new StreamConnection.Shared(
            exchange,
            registry,
            log,
            () -> this.config,
            () -> stopping,
            ThreadLocal.withInitial(() -> ByteBuffer.allocate(16 << 10)));
    // One that ends before it is open never becomes a connection, and would be counted for ever.
    addEventListener(
        new AcceptListener() {
          @Override
          public void onAcceptFailed(SelectableChannel channel, Throwable cause) {
            registry.acceptFailed();
          }
        });
  }

  /** Listens; the port is taken from here on, but no ping is answered before {@link #markReady}. */
  public InetSocketAddress listen() throws Exception {
    server = ServerSocketChannel.open();
    server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    server.bind(config.listen(), 1024);
    server.configureBlocking(false);
    start();
    policy.begin();
    acceptor(server);
    closeOverdue();
    return (InetSocketAddress) server.getLocalAddress();
  }

  /** Time limits and descriptors of a new configuration; those who are connected stay. */
  public void reload(AssignerConfig now) {
    config = now;
  }

  /** Connections that may be held at once. */
  public int maxConnections() {
    return policy.most();
  }

  /** Ends the connections whose time is over, again and again. */
  private void closeOverdue() {
    Timeouts timeouts = config.timeouts();
    registry.overdue(timeouts).forEach(one -> one.end(TerminationReason.TIMED_OUT, null));
    if (!stopping) {
      scheduler.schedule(
          () -> getExecutor().execute(this::closeOverdue),
          Math.max(1, timeouts.identificationMs() / LOOKS),
          TimeUnit.MILLISECONDS);
    }
  }

  /** From now on pings are answered, those that wait first. */
  public void markReady() {
    registry.ready().forEach(StreamConnection::pong);
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
   * The next connection. Where descriptors run short an unidentified one goes for it. While those
   * in the way are still closing newcomers wait in the kernel; where proxies and collectors hold
   * everything they are closed at once.
   */
  @Override
  protected SelectableChannel doAccept(SelectableChannel listening) throws IOException {
    if (policy.mustPause()) {
      return null;
    }
    // Only who has come needs a place: the last look, at an empty queue, must cost nobody his.
    SelectableChannel made = super.doAccept(listening);
    if (made == null) {
      policy.paused();
      return null;
    }
    AcceptPolicy.Admission admission = policy.admit();
    if (!admission.taken()) {
      made.close();
      policy.paused();
      log.refused("a newcomer", "no descriptor is left");
      return null;
    }
    if (admission.evicted() != null) {
      admission.evicted().evict();
    }
    return made;
  }

  /** Who goes for a newcomer, for tests of what may cross it. */
  public StreamConnection takeEvictionCandidate() {
    return registry.takeEvictionCandidate();
  }

  @Override
  protected void accepted(SelectableChannel channel) throws IOException {
    channel.configureBlocking(false);
    ((SocketChannel) channel).setOption(StandardSocketOptions.TCP_NODELAY, true);
    registry.accepted();
    accept(channel, ++taken);
  }

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
    return new ResetAwareEndPoint(channel, selector, key, scheduler);
  }

  @Override
  public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
    return new StreamConnection(
        endPoint, getExecutor(), shared, (Long) attachment, -1 - origins.getAndIncrement());
  }

  /** Connections that hold a descriptor, for tests of what must not grow. */
  public int connections() {
    return registry.size();
  }
}
