package pearusher.scale;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/** A non-blocking connection of an {@link EventLoop}; used on the loop's thread only. */
final class Connection {
  /** What is told of a connection. */
  interface Handler {
    /** It is up. */
    default void opened(Connection connection) {}

    /** Bytes came; what is not taken from the buffer is lost. */
    void received(Connection connection, ByteBuffer bytes);

    /** It ended, by the other side (why is null) or by a failure; not told where we closed it. */
    default void ended(Connection connection, IOException why) {}
  }

  private final SocketChannel channel;
  private final ArrayDeque<ByteBuffer> waiting = new ArrayDeque<>();
  private SelectionKey key;
  private Handler handler;
  private boolean closed;
  private boolean silent;

  Connection(SocketChannel channel) {
    this.channel = channel;
  }

  void key(SelectionKey made) {
    key = made;
  }

  void handler(Handler made) {
    handler = made;
  }

  Handler handler() {
    return handler;
  }

  boolean open() {
    return !closed;
  }

  /** Bytes wait that the other side has not taken. */
  boolean backlogged() {
    return !waiting.isEmpty();
  }

  /** Bounds what the system keeps for us unread. */
  void receiveBuffer(int bytes) {
    try {
      channel.setOption(StandardSocketOptions.SO_RCVBUF, bytes);
    } catch (IOException e) {
      end(e);
    }
  }

  void finishConnect() {
    try {
      if (channel.finishConnect()) {
        connected();
      }
    } catch (IOException e) {
      end(e);
    }
  }

  void connected() {
    key.interestOps(SelectionKey.OP_READ);
    handler.opened(this);
  }

  /** Sends bytes, which may be shared by many connections if each has its own duplicate. */
  void send(ByteBuffer bytes) {
    if (closed) {
      return;
    }
    waiting.add(bytes);
    if (waiting.size() == 1 && !silent) {
      flush();
    }
  }

  void send(byte[] bytes) {
    send(ByteBuffer.wrap(bytes));
  }

  void flush() {
    try {
      while (!waiting.isEmpty()) {
        ByteBuffer first = waiting.peek();
        channel.write(first);
        if (first.hasRemaining()) {
          break;
        }
        waiting.poll();
      }
      interest();
    } catch (IOException e) {
      end(e);
    }
  }

  private void interest() {
    if (!closed) {
      int write = waiting.isEmpty() ? 0 : SelectionKey.OP_WRITE;
      key.interestOps(silent ? 0 : SelectionKey.OP_READ | write);
    }
  }

  void read(ByteBuffer buffer) {
    try {
      buffer.clear();
      int count = channel.read(buffer);
      if (count < 0) {
        end(null);
      } else if (count > 0) {
        handler.received(this, buffer.flip());
      }
    } catch (IOException e) {
      end(e);
    }
  }

  /** While silent it neither reads nor writes, as if the network were cut. */
  void silent(boolean now) {
    silent = now;
    interest();
  }

  void end(IOException why) {
    if (!closed) {
      close();
      handler.ended(this, why);
    }
  }

  /** Ends it with a reset. */
  void reset() {
    try {
      if (!closed) {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
      }
    } catch (IOException e) {
      waiting.clear();
    }
    close();
  }

  void close() {
    closed = true;
    waiting.clear();
    key.cancel();
    try {
      channel.close();
    } catch (IOException e) {
      waiting.clear();
    }
  }
}
