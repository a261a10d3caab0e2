package pearusher.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.concurrent.Executor;
import org.tinylog.Logger;
import pearusher.config.AssignerConfig;
import pearusher.control.Controller;
import pearusher.control.PeerMessenger;

/**
 * Datagrams between assigners. It passes on what comes from an address in the list and sends what
 * the module gives it, 256 bytes at most either way; anything else is dropped and counted. It must
 * never answer by itself nor open another way between assigners.
 */
public final class PeerSocket implements PeerMessenger, AutoCloseable {
  static final int MOST = 256;
  private volatile AssignerConfig config;
  private final Controller exchange;
  private final Executor executor;
  private DatagramChannel channel;
  private volatile long dropped;

  public PeerSocket(AssignerConfig config, Controller exchange, Executor executor) {
    this.config = config;
    this.exchange = exchange;
    this.executor = executor;
  }

  /** Listens, where the settings and the configuration allow it. */
  public void listen() throws IOException {
    if (config.peerListen() != null) {
      channel = DatagramChannel.open();
      channel.bind(config.peerListen());
      Thread receiver = new Thread(this::receive, "peers");
      receiver.setDaemon(true);
      receiver.start();
    }
  }

  public void reload(AssignerConfig now) {
    config = now;
  }

  public InetSocketAddress address() throws IOException {
    return (InetSocketAddress) channel.getLocalAddress();
  }

  public long dropped() {
    return dropped;
  }

  // Only the receiving thread writes the count.
  @SuppressWarnings("NonAtomicVolatileUpdate")
  private void receive() {
    ByteBuffer buffer = ByteBuffer.allocate(MOST + 1);
    while (channel.isOpen()) {
      try {
        buffer.clear();
        int from = config.peers().indexOf(channel.receive(buffer));
        if (from < 0 || from == config.settings().instance() || buffer.flip().remaining() > MOST) {
          dropped++;
          if (Long.bitCount(dropped) == 1) {
            Logger.warn("datagrams dropped: {} so far, of unknown senders or too long", dropped);
          }
          continue;
        }
        byte[] body = new byte[buffer.remaining()];
        buffer.get(body);
        exchange.onPeerMessage(from, body);
      } catch (ClosedChannelException closed) {
        return;
      } catch (IOException e) {
        Logger.debug(e);
      }
    }
  }

  @Override
  public void send(int peer, byte[] body) {
    InetSocketAddress to =
        peer == -1
            ? config.peerBroadcast()
            : peer >= 0 && peer < config.peers().size() ? config.peers().get(peer) : null;
    if (channel == null || to == null || body.length > MOST) {
      return;
    }
    byte[] copy = body.clone();
    executor.execute(
        () -> {
          try {
            channel.send(ByteBuffer.wrap(copy), to);
          } catch (IOException e) {
            Logger.debug(e);
          }
        });
  }

  @Override
  public void close() throws IOException {
    if (channel != null) {
      channel.close();
    }
  }
}
