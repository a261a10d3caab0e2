package pearusher.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Jetty's end point, but a reset is told as a failure: its own reads a reset and an orderly close
 * alike, as the end of the input. Both sides use it; it must never do more than read.
 */
public final class ResetAwareEndPoint extends SocketChannelEndPoint {
  public ResetAwareEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super((SocketChannel) channel, selector, key, scheduler);
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    if (isInputShutdown()) {
      return -1;
    }
    int start = BufferUtil.flipToFill(buffer);
    int read;
    try {
      read = getChannel().read(buffer);
    } finally {
      BufferUtil.flipToFlush(buffer, start);
    }
    if (read > 0) {
      notIdle();
    } else if (read < 0) {
      shutdownInput();
    }
    return read;
  }
}
