package pearusher.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.tinylog.Logger;
import pearusher.control.ProxyEvents;
import pearusher.control.ProxyStream;
import pearusher.protocol.MalformedMessageException;
import pearusher.protocol.Message;
import pearusher.protocol.MessageDecoder;
import pearusher.protocol.RespException;
import pearusher.protocol.RespReader;

/**
 * Connection of the listening socket: the stream of a proxy, a connection of a collector, or an
 * unidentified connection. One thread at a time reads; any thread may send or close. The buffers of
 * an incomplete received message and of unsent messages are bounded.
 *
 * <p>An unidentified connection is closed after any message other than a ping or an identification.
 * On an identified connection a malformed message is only dropped, since closing the stream would
 * leave the proxy's time limits running. Bytes that are not RESP close any connection.
 */
public final class StreamConnection extends AbstractConnection implements ProxyStream {
  /**
   * Maximum size of a message on an unidentified connection; the join message of a proxy has a
   * hundred bytes.
   */
  private static final int MAX_UNIDENTIFIED_MESSAGE_BYTES = 8 << 10;

  /**
   * Objects that all connections of a listening socket share.
   *
   * @param controller receives the messages
   * @param registry tracks the connections
   * @param rejections logs rejected connections and dropped messages
   * @param decoder decodes the messages
   * @param isStopping returns whether the server is closing its connections
   * @param buffers the read buffer of each thread
   */
  record Context(
      ProxyEvents controller,
      ConnectionRegistry registry,
      RejectionLog rejections,
      MessageDecoder decoder,
      BooleanSupplier isStopping,
      ThreadLocal<ByteBuffer> buffers) {}

  private final Context context;
  private final ConnectionRegistry registry;
  private final ConnectionRegistry.Entry entry = new ConnectionRegistry.Entry(this);
  private final RespReader reader = new RespReader(MAX_UNIDENTIFIED_MESSAGE_BYTES);
  private final SendQueue sendQueue;

  private final IdentifiedMessageRouter router;

  /** Position in the order of accepting; threads may open connections in another order. */
  private final long acceptOrder;

  private volatile PeerIdentity identity = PeerIdentity.UNIDENTIFIED;

  /** First reason for closing this connection; null while it is open. */
  private TerminationReason terminationReason;

  StreamConnection(
      EndPoint endPoint,
      Executor executor,
      Context context,
      long acceptOrder,
      int collectorSource) {
    super(endPoint, executor);
    this.context = context;
    this.acceptOrder = acceptOrder;
    router = new IdentifiedMessageRouter(context.controller(), collectorSource);
    registry = context.registry();
    sendQueue = new SendQueue(endPoint, cause -> close(TerminationReason.ofFailure(cause)));
  }

  @Override
  public void onOpen() {
    super.onOpen();
    registry.onOpened(entry);
    fillInterested();
  }

  @Override
  public void onFillable() {
    try {
      readAvailable(context.buffers().get());
    } catch (RespException e) {
      close(TerminationReason.ofRespFault(e.kind()), e.getMessage());
    } catch (MalformedMessageException e) {
      close(TerminationReason.MALFORMED, e.getMessage());
    } catch (IOException e) {
      close(TerminationReason.RESET);
    } catch (RuntimeException e) {
      Logger.error(e, "internal error while reading from {}", identity.describe());
      close(TerminationReason.MALFORMED, "internal error");
    }
  }

  /**
   * Reads once. A peer that has sent more yields to all other connections before the next read, so
   * that hundreds of peers that send continuously, or have sent much and closed, delay no other.
   */
  private void readAvailable(ByteBuffer buffer) throws IOException, MalformedMessageException {
    buffer.clear().flip();
    int count = getEndPoint().fill(buffer);
    if (count < 0) {
      close(TerminationReason.CLOSED);
      return;
    }
    if (count > 0) {
      entry.onBytesReceived();
    }
    boolean completedAny = processMessages(buffer);
    registry.onRead(entry, completedAny);
    fillInterested();
  }

  /** Processes all complete messages; returns whether there were any. */
  private boolean processMessages(ByteBuffer buffer)
      throws RespException, MalformedMessageException {
    boolean completedAny = false;
    List<String> strings;
    while ((strings = reader.next(buffer)) != null) {
      completedAny = true;
      try {
        process(context.decoder().decode(strings));
      } catch (MalformedMessageException e) {
        if (!entry.isIdentified()) {
          throw e;
        }
        context.rejections().messageDropped(identity.describe(), e.getMessage());
      }
    }
    return completedAny;
  }

  private void process(Message message) throws MalformedMessageException {
    if (message instanceof Message.Ping) {
      onPing();
    } else if (!entry.isIdentified()) {
      processUnidentified(message);
    } else {
      router.route(this, identity, message);
    }
  }

  private void onPing() {
    if (registry.onPing(entry)) {
      sendPongs();
    }
  }

  private void processUnidentified(Message message) throws MalformedMessageException {
    if (message instanceof Message.CollectorHello) {
      identity = PeerIdentity.COLLECTOR;
      identify(() -> {});
    } else if (message instanceof Message.ProxyJoin join) {
      identify(() -> onProxyJoin(join));
    } else {
      router.route(this, identity, message);
    }
  }

  private void onProxyJoin(Message.ProxyJoin join) {
    identity = PeerIdentity.ofProxy(join.proxy());
    context.controller().onProxyJoined(this, join);
  }

  private void identify(Runnable onIdentified) {
    registry.identify(
        entry,
        () -> {
          reader.setMaxMessageBytes(RespReader.MAX_MESSAGE_BYTES);
          onIdentified.run();
        });
  }

  /** Returns whether some but not all bytes of a message were received. */
  boolean isMidMessage() {
    return reader.isMidMessage();
  }

  /** Returns whether this is the stream of a proxy. */
  boolean isProxyStream() {
    return identity.isProxy();
  }

  /** Answers all unanswered pings. */
  void sendPongs() {
    continueSending(sendQueue.addPongs(registry.resetPendingPings(entry)));
  }

  @Override
  public void send(byte[] message) {
    continueSending(sendQueue.add(message));
  }

  private void continueSending(SendQueue.NextStep step) {
    switch (step) {
      case WRITE -> getExecutor().execute(sendQueue::iterate);
      case CLOSE -> getExecutor().execute(this::closeOnFullSendBuffer);
      case NONE -> {}
    }
  }

  private void closeOnFullSendBuffer() {
    close(
        TerminationReason.SEND_BUFFER_FULL, "over " + SendQueue.MAX_UNSENT_BYTES + " bytes unsent");
  }

  @Override
  public long acceptOrder() {
    return acceptOrder;
  }

  /**
   * Called when the proxy has a newer stream. This stream is closed with a delay, by the timeout of
   * unidentified connections.
   */
  @Override
  public void onReplaced() {
    registry.onReplaced(entry);
  }

  @Override
  public void onFillInterestedFailed(Throwable cause) {
    close(TerminationReason.ofFailure(cause));
    super.onFillInterestedFailed(cause);
  }

  /**
   * Closes this connection to free its file descriptor, unless the peer identified itself after the
   * connection was selected. The reserved file descriptors suffice for that case.
   */
  public void evict() {
    if (registry.evict(entry)) {
      close(TerminationReason.EVICTED);
    }
  }

  /** Closes this connection for a reason; later calls have no effect. */
  void close(TerminationReason reason) {
    if (!setTerminationReason(reason)) {
      return;
    }
    boolean expected = reason == TerminationReason.CLOSED || reason == TerminationReason.CANCELLED;
    if (identity.isProxy() && !expected) {
      Logger.info("connection of {} ended: {}", identity.describe(), reason);
    }
    getEndPoint().close();
  }

  /** Closes this connection for a reason caused by the peer; the log line includes the detail. */
  private void close(TerminationReason reason, String detail) {
    if (!setTerminationReason(reason)) {
      return;
    }
    if (entry.isIdentified()) {
      Logger.warn("connection of {} ended: {}: {}", identity.describe(), reason, detail);
    } else {
      context.rejections().connectionRejected(reason + ": " + detail);
    }
    getEndPoint().close();
  }

  private synchronized boolean setTerminationReason(TerminationReason reason) {
    if (terminationReason != null) {
      return false;
    }
    terminationReason = reason;
    return true;
  }

  @Override
  public void onClose(Throwable cause) {
    super.onClose(cause);
    close(closeReason(cause));
    sendQueue.clear();
    reader.close();
    registry.onClosed(entry);
    PeerIdentity peer = identity;
    if (peer.isProxy()) {
      context.controller().onStreamClosed(this, peer.proxy());
    }
  }

  private TerminationReason closeReason(Throwable cause) {
    if (context.isStopping().getAsBoolean()) {
      return TerminationReason.CANCELLED;
    }
    return cause == null ? TerminationReason.CLOSED : TerminationReason.ofFailure(cause);
  }
}
