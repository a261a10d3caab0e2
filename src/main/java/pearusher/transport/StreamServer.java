package pearusher.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Optional;
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
import pearusher.control.ProxyEvents;
import pearusher.protocol.MessageDecoder;

/**
 * Listening socket for proxies and collectors. Accepts connections as {@link AcceptPolicy} decides.
 * Closes connections that stay unidentified, or stay within a message, for too long. Never closes
 * the stream of a proxy only because it is idle. Runs on the threads of one selector and of the
 * executor.
 */
public final class StreamServer extends SelectorManager {
  private static final int SELECTORS = 1;
  private static final int ACCEPT_BACKLOG = 1024;
  private static final int READ_BUFFER_BYTES = 16 << 10;

  /**
   * Size of the kernel's receive buffer of a connection, which Linux doubles. What a peer has sent
   * before it closed or reset its connection is still read, and occupies a descriptor until then.
   */
  private static final int RECEIVE_BUFFER_BYTES = 16 << 10;

  /** Number of checks for expired connections per identification timeout. */
  private static final int EXPIRY_CHECKS_PER_TIMEOUT = 16;

  private volatile AssignerConfig config;
  private final Scheduler scheduler;
  private final ConnectionRegistry registry = new ConnectionRegistry();
  private final RejectionLog rejections = new RejectionLog();
  private final AcceptPolicy acceptPolicy;
  private final StreamConnection.Context context;

  /** Number of connections opened so far, from which each gets its source number for reports. */
  private final AtomicInteger openedConnections = new AtomicInteger();

  private ServerSocketChannel serverChannel;

  /** Number of connections accepted so far; only the accepting thread uses it. */
  private long acceptedConnections;

  private volatile boolean stopping;

  /**
   * Creates a server that does not listen yet.
   *
   * @param config the address to listen on, the timeouts and the names used in messages
   * @param controller receives the messages
   * @param executor runs the connections
   * @param scheduler runs timeouts
   */
  public StreamServer(
      AssignerConfig config, ProxyEvents controller, Executor executor, Scheduler scheduler) {
    super(executor, scheduler, SELECTORS);
    this.config = config;
    this.scheduler = scheduler;
    acceptPolicy = new AcceptPolicy(registry, () -> this.config.maxDescriptors());
    context =
        new StreamConnection.Context(
            controller,
            registry,
            rejections,
            new MessageDecoder(config.names(), config.settings()),
            () -> stopping,
            ThreadLocal.withInitial(() -> ByteBuffer.allocate(READ_BUFFER_BYTES)));
    addEventListener(new AcceptFailureListener());
  }

  /** Removes channels from the count that fail before a connection is created for them. */
  private final class AcceptFailureListener implements AcceptListener {
    @Override
    public void onAcceptFailed(SelectableChannel channel, Throwable cause) {
      registry.onAcceptFailed();
    }
  }

  /**
   * Starts listening. The port is bound from now on, but pings are answered only after {@link
   * #markReady}.
   *
   * @return the address that the server listens on
   * @throws Exception if the address is not available or the selector cannot be started
   */
  public InetSocketAddress listen() throws Exception {
    serverChannel = ServerSocketChannel.open();
    serverChannel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    // Accepted connections inherit the size, which must be set before they are established.
    serverChannel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
    serverChannel.bind(config.listen(), ACCEPT_BACKLOG);
    serverChannel.configureBlocking(false);
    start();
    acceptPolicy.countInitialDescriptors();
    acceptor(serverChannel);
    closeExpired();
    return (InetSocketAddress) serverChannel.getLocalAddress();
  }

  /** Applies the timeouts and the limit on file descriptors of a reloaded configuration. */
  public void reload(AssignerConfig reloaded) {
    config = reloaded;
  }

  /** Returns the maximum number of open connections. */
  public int maxConnections() {
    return acceptPolicy.maxConnections();
  }

  /** Closes the connections whose timeout has expired, and schedules the next check. */
  private void closeExpired() {
    Timeouts timeouts = config.timeouts();
    for (StreamConnection connection : registry.findExpired(timeouts)) {
      connection.close(TerminationReason.TIMED_OUT);
    }
    if (!stopping) {
      scheduler.schedule(
          () -> getExecutor().execute(this::closeExpired),
          Math.max(1, timeouts.identificationMs() / EXPIRY_CHECKS_PER_TIMEOUT),
          TimeUnit.MILLISECONDS);
    }
  }

  /** Answers all pings received so far, and from now on each ping immediately. */
  public void markReady() {
    registry.markReady().forEach(StreamConnection::sendPongs);
  }

  @Override
  protected void doStop() throws Exception {
    if (serverChannel != null) {
      serverChannel.close();
    }
    stopping = true;
    super.doStop();
  }

  /**
   * Accepts the next connection. If file descriptors run short, an unidentified connection is
   * evicted. While evicted connections are still closing, new connections wait in the kernel. If
   * proxies and collectors occupy all connections, a new connection is closed immediately.
   */
  @Override
  protected SelectableChannel doAccept(SelectableChannel listening) throws IOException {
    if (acceptPolicy.mustPause()) {
      return null;
    }
    // Accepts before deciding, so that nothing is evicted if no connection is waiting.
    SelectableChannel channel = super.doAccept(listening);
    if (channel == null) {
      acceptPolicy.onPause();
      return null;
    }
    AcceptPolicy.AcceptDecision decision = acceptPolicy.decide();
    if (!decision.accepted()) {
      channel.close();
      acceptPolicy.onPause();
      rejections.connectionRejected("no file descriptor is left and no connection can be evicted");
      return null;
    }
    decision.evicted().ifPresent(StreamConnection::evict);
    return channel;
  }

  /** Selects a connection to evict; only for tests of races with eviction. */
  public Optional<StreamConnection> takeEvictionCandidate() {
    return registry.takeEvictionCandidate();
  }

  @Override
  protected void accepted(SelectableChannel channel) throws IOException {
    channel.configureBlocking(false);
    ((SocketChannel) channel).setOption(StandardSocketOptions.TCP_NODELAY, true);
    registry.onAccepted();
    accept(channel, ++acceptedConnections);
  }

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
    return new ResetAwareEndPoint(channel, selector, key, scheduler);
  }

  @Override
  public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
    long acceptOrder = (Long) attachment;
    // Negative source numbers are those of collectors; others are proxy numbers.
    int collectorSource = -1 - openedConnections.getAndIncrement();
    return new StreamConnection(endPoint, getExecutor(), context, acceptOrder, collectorSource);
  }

  /** Returns the number of connections that occupy a file descriptor. */
  public int connections() {
    return registry.size();
  }
}
