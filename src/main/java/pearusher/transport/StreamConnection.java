package pearusher.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.tinylog.Logger;
import pearusher.config.AssignerConfig;
import pearusher.control.Controller;
import pearusher.control.ProxyStream;
import pearusher.protocol.MalformedMessageException;
import pearusher.protocol.Message;
import pearusher.protocol.MessageDecoder;
import pearusher.protocol.MessageEncoder;
import pearusher.protocol.RespException;
import pearusher.protocol.RespReader;

/**
 * One connection of the listening socket. Who has not said what it is counts as unidentified:
 * whatever else it sends ends it. On an identified one a message that makes no sense costs that
 * message alone, since its end would leave a proxy's time limits running; what can't be framed ends
 * it. One thread at a time reads; any may send or end it. It grows with what it has read of a
 * message and with what waits to be sent, both bounded.
 */
public final class StreamConnection extends AbstractConnection implements ProxyStream {
  /** Bytes that an unidentified connection's message may have: a joining needs a hundred. */
  private static final int MOST_UNIDENTIFIED = 8 << 10;

  /** Reads after which a sender without pause gives way to others. */
  private static final int MOST_READS = 16;

  /** What all connections of a socket have in common. */
  record Shared(
      Controller exchange,
      ConnectionRegistry registry,
      RejectionLog log,
      Supplier<AssignerConfig> config,
      BooleanSupplier stopping,
      ThreadLocal<ByteBuffer> buffers) {}

  private final Shared shared;
  private final ConnectionRegistry registry;
  private final RespReader reader = new RespReader(MOST_UNIDENTIFIED);
  private final SendQueue unsent;
  private volatile boolean collector;

  /** A collector's own number, for the shares of a flood. */
  private final int origin;

  /** Its place among all that were taken; connections are made by several threads, in any order. */
  private final long taken;

  private TerminationReason ending;

  /** Set once it has joined; below 0: it is no proxy's. */
  volatile int proxy = -1;

  /** It has said what it is, the first and only time. */
  volatile boolean identified;

  /** Some bytes of it came. */
  volatile boolean begun;

  // Guarded by the registry, which alone uses them.

  boolean opened;
  boolean evicted;
  boolean closed;
  int pings;
  long unidentifiedSinceNs;
  long unfinishedSinceNs;

  StreamConnection(EndPoint endPoint, Executor executor, Shared shared, long taken, int origin) {
    super(endPoint, executor);
    this.shared = shared;
    this.taken = taken;
    this.origin = origin;
    registry = shared.registry();
    unsent = new SendQueue(endPoint, cause -> end(TerminationReason.ofFailure(cause), null));
  }

  @Override
  public void onOpen() {
    super.onOpen();
    registry.opened(this);
    fillInterested();
  }

  @Override
  public void onFillable() {
    ByteBuffer buffer = shared.buffers().get();
    try {
      boolean any = false;
      for (int round = 0; round < MOST_READS; round++) {
        buffer.clear().flip();
        int n = getEndPoint().fill(buffer);
        if (n < 0) {
          end(TerminationReason.CLOSED, null);
          return;
        }
        if (n == 0) {
          break;
        }
        begun = true;
        any |= messages(buffer);
      }
      registry.read(this, any);
      fillInterested();
    } catch (RespException e) {
      end(TerminationReason.ofFault(e.kind()), e.getMessage());
    } catch (MalformedMessageException e) {
      end(TerminationReason.MALFORMED, e.getMessage());
    } catch (IOException e) {
      end(TerminationReason.RESET, null);
    } catch (RuntimeException e) {
      Logger.error(e, "a fault of our own while reading");
      end(TerminationReason.MALFORMED, "it could not be read");
    }
  }

  /** Takes the messages that are whole now; whether there were any. */
  private boolean messages(ByteBuffer buffer) throws RespException, MalformedMessageException {
    boolean any = false;
    List<String> words;
    while ((words = reader.next(buffer)) != null) {
      any = true;
      try {
        AssignerConfig config = shared.config().get();
        message(new MessageDecoder(config.names(), config.settings()).decode(words));
      } catch (MalformedMessageException e) {
        if (!identified) {
          throw e;
        }
        shared.log().dropped(who(), e.getMessage());
      }
    }
    return any;
  }

  private void message(Message message) throws MalformedMessageException {
    Controller exchange = shared.exchange();
    if (message instanceof Message.Ping) {
      if (registry.pinged(this)) {
        pong();
      }
    } else if (!identified && message instanceof Message.CollectorHello) {
      collector = true;
      identify(() -> {});
    } else if (!identified && message instanceof Message.ProxyJoin joined) {
      identify(
          () -> {
            proxy = joined.proxy();
            exchange.onProxyJoined(this, joined);
          });
    } else if (message instanceof Message.Acknowledgement applied
        && identified
        && proxy == applied.proxy()) {
      exchange.onAcknowledgement(this, applied);
    } else if (message instanceof Message.LoadReport heard && collector) {
      exchange.onLoadReport(heard, origin);
    } else if (message instanceof Message.UsageReport usage
        && (collector || (identified && proxy == usage.proxy()))) {
      exchange.onUsageReport(usage, collector ? origin : usage.proxy());
    } else {
      throw new MalformedMessageException("no place for " + message);
    }
  }

  private void identify(Runnable how) {
    registry.identify(
        this,
        () -> {
          identified = true;
          reader.setMaxMessageBytes(RespReader.MAX_MESSAGE_BYTES);
          how.run();
        });
  }

  /** Whether a message has begun and is not whole yet. */
  boolean isMidMessage() {
    return reader.isMidMessage();
  }

  /** Answers the pings that came. */
  void pong() {
    int due = registry.takePings(this);
    for (int k = 0; k < due; k++) {
      send(MessageEncoder.encodePong());
    }
  }

  @Override
  public void send(byte[] message) {
    if (unsent.add(message)) {
      getExecutor().execute(unsent::iterate);
    } else {
      getExecutor()
          .execute(
              () ->
                  end(
                      TerminationReason.SEND_BUFFER_FULL,
                      SendQueue.MOST_UNREAD + " bytes wait for it"));
    }
  }

  @Override
  public long acceptOrder() {
    return taken;
  }

  /** The proxy has a newer stream: this one is closed like an unidentified one, a little later. */
  @Override
  public void onReplaced() {
    registry.replaced(this);
  }

  @Override
  public void onFillInterestedFailed(Throwable cause) {
    end(TerminationReason.ofFailure(cause), null);
    super.onFillInterestedFailed(cause);
  }

  /**
   * Ends it for its descriptor, but not who has joined since it was chosen: the reserve has room.
   */
  public void evict() {
    if (registry.evict(this)) {
      end(TerminationReason.EVICTED, null);
    }
  }

  /** The one way in which a connection ends, whoever ends it; the first cause counts. */
  void end(TerminationReason how, String why) {
    synchronized (this) {
      if (ending != null) {
        return;
      }
      ending = how;
    }
    if (why != null && !identified) {
      shared.log().refused(who(), how + ": " + why);
    } else if (why != null) {
      Logger.warn("connection of {} ended: {}: {}", who(), how, why);
    } else if (proxy >= 0
        && how != TerminationReason.CLOSED
        && how != TerminationReason.CANCELLED) {
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
    end(
        shared.stopping().getAsBoolean()
            ? TerminationReason.CANCELLED
            : cause == null ? TerminationReason.CLOSED : TerminationReason.ofFailure(cause),
        null);
    unsent.clear();
    reader.close();
    registry.closed(this);
    if (proxy >= 0) {
      shared.exchange().onStreamClosed(this, proxy);
    }
  }
}
