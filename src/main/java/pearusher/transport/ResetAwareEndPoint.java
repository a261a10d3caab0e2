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
 * End point that reports a connection reset as a failure. The end point of Jetty reports both a
 * reset and an orderly close as the end of the input. The threads of the selector run it.
 */
public final class ResetAwareEndPoint extends SocketChannelEndPoint {
  private static final int END_OF_INPUT = -1;

  /**
   * Creates an end point.
   *
   * @param channel the socket channel
   * @param selector the selector that the channel is registered with
   * @param key the registration of the channel
   * @param scheduler runs idle timeouts
   */
  public ResetAwareEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super((SocketChannel) channel, selector, key, scheduler);
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    if (isInputShutdown()) {
      return END_OF_INPUT;
    }
    int start = BufferUtil.flipToFill(buffer);
    int count;
    try {
      count = getChannel().read(buffer);
    } finally {
      BufferUtil.flipToFlush(buffer, start);
    }
    if (count > 0) {
      notIdle();
    } else if (count < 0) {
      shutdownInput();
    }
    return count;
  }
}
