package pearusher.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.tinylog.Logger;
import pearusher.config.AssignerConfig;
import pearusher.config.PeerAddresses;
import pearusher.control.PeerEvents;
import pearusher.control.PeerMessenger;
import pearusher.logging.RepeatedEvent;

/**
 * Datagram socket between the assigners of a tier. Drops and counts datagrams that are too long or
 * come from unknown senders. Receives on its own thread and sends on the threads of the executor.
 */
public final class PeerSocket implements PeerMessenger, AutoCloseable {
  /** Maximum size of a datagram in bytes. */
  static final int MAX_DATAGRAM_BYTES = 256;

  /** Peer number that addresses all peers. */
  private static final int ALL_PEERS = -1;

  private volatile AssignerConfig config;
  private final PeerEvents controller;
  private final Executor executor;
  private final RepeatedEvent droppedDatagrams = new RepeatedEvent();

  /** Null if the configuration has no peers, or before {@link #listen}. */
  private DatagramChannel channel;

  /**
   * Creates a socket without opening it.
   *
   * @param config the addresses of the peers
   * @param controller receives the messages of peers
   * @param executor sends the messages
   */
  public PeerSocket(AssignerConfig config, PeerEvents controller, Executor executor) {
    this.config = config;
    this.controller = controller;
    this.executor = executor;
  }

  /**
   * Opens the socket and starts receiving, if the settings and the configuration allow peers.
   *
   * @throws IOException if the address is not available
   */
  public void listen() throws IOException {
    Optional<InetSocketAddress> address = config.peers().listen();
    if (address.isEmpty()) {
      return;
    }
    channel = DatagramChannel.open();
    channel.bind(address.get());
    Thread receiver = new Thread(this::receiveAll, "peers");
    receiver.setDaemon(true);
    receiver.start();
  }

  /** Applies the peer addresses of a reloaded configuration. */
  public void reload(AssignerConfig reloaded) {
    config = reloaded;
  }

  /**
   * Returns the address that the socket is bound to; the socket must have been opened.
   *
   * @throws IOException if the socket was closed
   */
  public InetSocketAddress address() throws IOException {
    return (InetSocketAddress) channel.getLocalAddress();
  }

  /** Returns the number of datagrams dropped so far. */
  public long droppedDatagrams() {
    return droppedDatagrams.count();
  }

  private void receiveAll() {
    ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES + 1);
    while (channel.isOpen()) {
      try {
        buffer.clear();
        SocketAddress sender = channel.receive(buffer);
        buffer.flip();
        process(sender, buffer);
      } catch (ClosedChannelException e) {
        return;
      } catch (IOException e) {
        Logger.debug(e);
      }
    }
  }

  private void process(SocketAddress sender, ByteBuffer datagram) {
    int peer = config.peers().assigners().indexOf(sender);
    boolean isPeer = peer >= 0 && peer != config.settings().instance();
    if (!isPeer || datagram.remaining() > MAX_DATAGRAM_BYTES) {
      droppedDatagrams.record(
          count ->
              Logger.warn(
                  "datagrams dropped: {} so far, from unknown senders or over {} bytes",
                  count,
                  MAX_DATAGRAM_BYTES));
      return;
    }
    byte[] message = new byte[datagram.remaining()];
    datagram.get(message);
    controller.onPeerMessage(peer, message);
  }

  @Override
  public void send(int peer, byte[] message) {
    Optional<InetSocketAddress> target = target(peer);
    if (channel == null || target.isEmpty() || message.length > MAX_DATAGRAM_BYTES) {
      return;
    }
    byte[] copy = message.clone();
    executor.execute(() -> sendNow(copy, target.get()));
  }

  private Optional<InetSocketAddress> target(int peer) {
    PeerAddresses peers = config.peers();
    if (peer == ALL_PEERS) {
      return peers.broadcast();
    }
    List<InetSocketAddress> assigners = peers.assigners();
    return peer >= 0 && peer < assigners.size()
        ? Optional.of(assigners.get(peer))
        : Optional.empty();
  }

  private void sendNow(byte[] message, InetSocketAddress target) {
    try {
      channel.send(ByteBuffer.wrap(message), target);
    } catch (IOException e) {
      Logger.debug(e);
    }
  }

  @Override
  public void close() throws IOException {
    if (channel != null) {
      channel.close();
    }
  }
}
