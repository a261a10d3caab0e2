package pearusher.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.util.thread.Scheduler;
import pearusher.transport.ResetAwareEndPoint;
import pearusher.transport.TerminationReason;

/**
 * Connector that opens a connection for each {@link HttpCall}. Runs on the threads of one selector
 * and of the executor.
 */
final class HttpConnector extends SelectorManager {
  private static final int SELECTORS = 1;

  private final Scheduler scheduler;

  HttpConnector(Executor executor, Scheduler scheduler) {
    super(executor, scheduler, SELECTORS);
    this.scheduler = scheduler;
  }

  /** Opens the connection of a call asynchronously, on a thread of the executor. */
  void open(HttpCall call, InetSocketAddress address) {
    getExecutor().execute(() -> openNow(call, address));
  }

  private void openNow(HttpCall call, InetSocketAddress address) {
    try {
      SocketChannel channel = SocketChannel.open();
      if (!call.attach(channel)) {
        channel.close();
        return;
      }
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      channel.configureBlocking(false);
      if (channel.connect(address)) {
        accept(channel, call);
      } else {
        connect(channel, call);
      }
    } catch (IOException e) {
      call.end(TerminationReason.ofConnectFailure(e));
    }
  }

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
    return new ResetAwareEndPoint(channel, selector, key, scheduler);
  }

  @Override
  public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
    HttpCall call = (HttpCall) attachment;
    call.onConnected(endPoint);
    return new HttpCallConnection(endPoint, getExecutor(), call);
  }

  @Override
  protected void connectionFailed(SelectableChannel channel, Throwable failure, Object attachment) {
    super.connectionFailed(channel, failure, attachment);
    ((HttpCall) attachment).end(TerminationReason.ofConnectFailure(failure));
  }
}
