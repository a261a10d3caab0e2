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
    /** Called when the connection is established. */
    default void onOpened(Connection connection) {}

    /** Called when bytes arrive. Bytes left in the buffer are discarded. */
    void onReceived(Connection connection, ByteBuffer bytes);

    /**
     * Called when the connection fails or the peer closes it, but not after a local close.
     *
     * @param cause the failure, or null if the peer closed the connection
     */
    default void onEnded(Connection connection, IOException cause) {}
  }

  private final SocketChannel channel;
  private final ArrayDeque<ByteBuffer> pendingWrites = new ArrayDeque<>();
  private SelectionKey key;
  private Handler handler;
  private boolean isClosed;
  private boolean isSuspended;

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

  /** Returns whether there are unsent bytes, because the peer has not accepted them yet. */
  boolean isBacklogged() {
    return !pendingWrites.isEmpty();
  }

  /** Limits the size of the kernel's receive buffer. */
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

  /** Sends bytes. Connections may share the bytes if each passes its own duplicate buffer. */
  void send(ByteBuffer bytes) {
    if (isClosed) {
      return;
    }
    pendingWrites.add(bytes);
    if (pendingWrites.size() == 1 && !isSuspended) {
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
      key.interestOps(isSuspended ? 0 : SelectionKey.OP_READ | write);
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

  /** Suspends or resumes reads and writes, to simulate a network partition. */
  void setSuspended(boolean suspended) {
    isSuspended = suspended;
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
