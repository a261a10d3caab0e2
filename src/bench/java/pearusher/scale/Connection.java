package pearusher.scale;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/** A non-blocking connection of an {@link EventLoop}; used on the loop's thread only. */
final class Connection {
  /** Receives the events of a connection, on the loop's thread. */
  interface Handler {
    /** The connection is established. */
    default void onOpened(Connection connection) {}

    /** Bytes arrived; bytes left in the buffer are lost. */
    void onReceived(Connection connection, ByteBuffer bytes);

    /**
     * The connection ended by itself; not called after a close on this side.
     *
     * @param cause the failure, or null if the other side closed the connection
     */
    default void onEnded(Connection connection, IOException cause) {}
  }

  private final SocketChannel channel;
  private final ArrayDeque<ByteBuffer> pendingWrites = new ArrayDeque<>();
  private SelectionKey key;
  private Handler handler;
  private boolean isClosed;
  private boolean isSilent;

  Connection(SocketChannel channel) {
    this.channel = channel;
  }

  void setKey(SelectionKey registeredKey) {
    key = registeredKey;
  }

  void setHandler(Handler connectionHandler) {
    handler = connectionHandler;
  }

  Handler handler() {
    return handler;
  }

  boolean isOpen() {
    return !isClosed;
  }

  /** Whether there are bytes that the other side has not accepted yet. */
  boolean isBacklogged() {
    return !pendingWrites.isEmpty();
  }

  /** Limits the kernel's receive buffer. */
  void setReceiveBufferBytes(int bytes) {
    try {
      channel.setOption(StandardSocketOptions.SO_RCVBUF, bytes);
    } catch (IOException e) {
      terminate(e);
    }
  }

  void finishConnect() {
    try {
      if (channel.finishConnect()) {
        onConnected();
      }
    } catch (IOException e) {
      terminate(e);
    }
  }

  void onConnected() {
    key.interestOps(SelectionKey.OP_READ);
    handler.onOpened(this);
  }

  /** Sends bytes; connections may share them if each has a duplicate buffer of its own. */
  void send(ByteBuffer bytes) {
    if (isClosed) {
      return;
    }
    pendingWrites.add(bytes);
    if (pendingWrites.size() == 1 && !isSilent) {
      flush();
    }
  }

  void send(byte[] bytes) {
    send(ByteBuffer.wrap(bytes));
  }

  void flush() {
    try {
      while (!pendingWrites.isEmpty()) {
        ByteBuffer first = pendingWrites.peek();
        channel.write(first);
        if (first.hasRemaining()) {
          break;
        }
        pendingWrites.poll();
      }
      updateInterest();
    } catch (IOException e) {
      terminate(e);
    }
  }

  private void updateInterest() {
    if (!isClosed) {
      int write = pendingWrites.isEmpty() ? 0 : SelectionKey.OP_WRITE;
      key.interestOps(isSilent ? 0 : SelectionKey.OP_READ | write);
    }
  }

  void read(ByteBuffer buffer) {
    try {
      buffer.clear();
      int count = channel.read(buffer);
      if (count < 0) {
        terminate(null);
      } else if (count > 0) {
        handler.onReceived(this, buffer.flip());
      }
    } catch (IOException e) {
      terminate(e);
    }
  }

  /** While silent the connection neither reads nor writes, as in a network partition. */
  void setSilent(boolean silent) {
    isSilent = silent;
    updateInterest();
  }

  void terminate(IOException cause) {
    if (!isClosed) {
      close();
      handler.onEnded(this, cause);
    }
  }

  /** Closes the connection with a TCP reset. */
  void reset() {
    try {
      if (!isClosed) {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
      }
    } catch (IOException e) {
      pendingWrites.clear();
    }
    close();
  }

  void close() {
    isClosed = true;
    pendingWrites.clear();
    key.cancel();
    try {
      channel.close();
    } catch (IOException e) {
      pendingWrites.clear();
    }
  }
}
