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
 * Listens for proxies and collectors, accepts their connections as {@link AcceptPolicy} decides,
 * and closes those that are unidentified or within a message for too long. It never closes the
 * stream of a proxy that is merely silent. Its threads are those of one selector and of the
 * executor; it grows with the connections.
 */
public final class StreamServer extends SelectorManager {
  private static final int SELECTORS = 1;
  private static final int ACCEPT_BACKLOG = 1024;
  private static final int READ_BUFFER_BYTES = 16 << 10;

  /** How often connections are checked within the identification timeout. */
  private static final int CHECKS_PER_TIMEOUT = 16;

  private volatile AssignerConfig config;
  private final Scheduler scheduler;
  private final ConnectionRegistry registry = new ConnectionRegistry();
  private final RejectionLog rejections = new RejectionLog();
  private final AcceptPolicy acceptPolicy;
  private final StreamConnection.Context context;

  /** Counts the connections opened, which gives each its own number as a source of reports. */
  private final AtomicInteger openedConnections = new AtomicInteger();

  private ServerSocketChannel serverChannel;

  /** Connections accepted since the start; only the accepting thread uses it. */
  private long acceptedConnections;

  private volatile boolean stopping;

  /**
   * Creates a server, which does not listen yet.
   *
   * @param config the address to listen on, the timeouts and the names of messages
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

  /** Uncounts channels that fail before they are open, for which no connection is created. */
  private final class AcceptFailureListener implements AcceptListener {
    @Override
    public void onAcceptFailed(SelectableChannel channel, Throwable cause) {
      registry.onAcceptFailed();
    }
  }

  /**
   * Starts to listen. The port is taken from here on, but no ping is answered before {@link
   * #markReady}.
   *
   * @return the address that the server listens on
   * @throws Exception if the address is not available or the selector cannot be started
   */
  public InetSocketAddress listen() throws Exception {
    serverChannel = ServerSocketChannel.open();
    serverChannel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    serverChannel.bind(config.listen(), ACCEPT_BACKLOG);
    serverChannel.configureBlocking(false);
    start();
    acceptPolicy.countInitialDescriptors();
    acceptor(serverChannel);
    closeOverdue();
    return (InetSocketAddress) serverChannel.getLocalAddress();
  }

  /** Applies the timeouts and the descriptors of a reloaded configuration. */
  public void reload(AssignerConfig reloaded) {
    config = reloaded;
  }

  /** Returns the number of connections that may be open at once. */
  public int maxConnections() {
    return acceptPolicy.maxConnections();
  }

  /** Closes the connections whose time is over, and schedules the next check. */
  private void closeOverdue() {
    Timeouts timeouts = config.timeouts();
    for (StreamConnection connection : registry.overdue(timeouts)) {
      connection.close(TerminationReason.TIMED_OUT);
    }
    if (!stopping) {
      scheduler.schedule(
          () -> getExecutor().execute(this::closeOverdue),
          Math.max(1, timeouts.identificationMs() / CHECKS_PER_TIMEOUT),
          TimeUnit.MILLISECONDS);
    }
  }

  /** Answers pings from now on, those that were received before at once. */
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
   * Accepts the next connection. If descriptors run short, an unidentified connection is evicted
   * for it. While evicted ones are still closing, new ones wait in the kernel; if all are held by
   * proxies and collectors, new ones are closed at once.
   */
  @Override
  protected SelectableChannel doAccept(SelectableChannel listening) throws IOException {
    if (acceptPolicy.mustPause()) {
      return null;
    }
    // Accepts before it admits, so that nothing is evicted if no connection is waiting.
    SelectableChannel channel = super.doAccept(listening);
    if (channel == null) {
      acceptPolicy.onPause();
      return null;
    }
    AcceptPolicy.Admission admission = acceptPolicy.admit();
    if (!admission.accepted()) {
      channel.close();
      acceptPolicy.onPause();
      rejections.connectionRejected("no descriptor is left");
      return null;
    }
    admission.evicted().ifPresent(StreamConnection::evict);
    return channel;
  }

  /** Selects a connection to be evicted, for tests of races with it. */
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
    // Sources below 0 are collectors, others proxies.
    int collectorSource = -1 - openedConnections.getAndIncrement();
    return new StreamConnection(endPoint, getExecutor(), context, acceptOrder, collectorSource);
  }

  /** Returns the number of connections that hold a descriptor. */
  public int connections() {
    return registry.size();
  }
}
