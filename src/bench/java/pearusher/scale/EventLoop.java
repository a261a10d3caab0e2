package pearusher.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * One thread with one selector: non-blocking connections, tasks from other threads and timers. All
 * handlers of a loop run on its thread, so what belongs to one loop needs no locks. It never blocks
 * but in the selector.
 */
final class EventLoop implements AutoCloseable {
  private static final int READ_BUFFER_BYTES = 256 << 10;

  /** Thousands of watchers would else hold gigabytes of the list in the system's buffers. */
  private static final int SEND_BUFFER_BYTES = 256 << 10;

  private static final int ACCEPT_BACKLOG = 4096;
  private static final long JOIN_MS = 5_000;

  private record Timer(long dueNs, long order, Runnable task) {}

  private final Selector selector;
  private final Thread thread;
  private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) ->
              a.dueNs() != b.dueNs()
                  ? Long.compare(a.dueNs() - b.dueNs(), 0)
                  : Long.compare(a.order(), b.order()));
  private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
  private volatile boolean stopped;
  private volatile Throwable failure;
  private long timersMade;

  EventLoop(String name) throws IOException {
    selector = Selector.open();
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public String toString() {
    return "the loop " + thread.getName();
  }

  /** Why the loop's thread ended by itself; null while all is well. */
  Throwable failure() {
    return failure;
  }

  void execute(Runnable task) {
    tasks.add(task);
    selector.wakeup();
  }

  /** Runs a task on the loop's thread and waits for its end. */
  void executeAndWait(Runnable task) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    execute(
        () -> {
          try {
            task.run();
          } finally {
            done.countDown();
          }
        });
    while (!done.await(100, TimeUnit.MILLISECONDS)) {
      if (!thread.isAlive()) {
        throw new IllegalStateException("the loop " + thread.getName() + " has ended", failure);
      }
    }
  }

  /** Only on the loop's thread. */
  void schedule(long delayNs, Runnable task) {
    timers.add(new Timer(System.nanoTime() + Math.max(0, delayNs), timersMade++, task));
  }

  /** Runs a task each {@code periodNs} from now on; from any thread. */
  void every(long periodNs, Runnable task) {
    execute(() -> again(System.nanoTime() + periodNs, periodNs, task));
  }

  private void again(long dueNs, long periodNs, Runnable task) {
    timers.add(
        new Timer(
            dueNs,
            timersMade++,
            () -> {
              task.run();
              again(Math.max(dueNs + periodNs, System.nanoTime() - periodNs), periodNs, task);
            }));
  }

  /** Listens on loopback, on a port that the system gives. */
  InetSocketAddress listen(Function<Connection, Connection.Handler> handlers) throws IOException {
    ServerSocketChannel server = ServerSocketChannel.open();
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), ACCEPT_BACKLOG);
    server.configureBlocking(false);
    execute(
        () -> {
          try {
            Runnable accept = () -> accept(server, handlers);
            server.register(selector, SelectionKey.OP_ACCEPT, accept);
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        });
    return (InetSocketAddress) server.getLocalAddress();
  }

  private void accept(
      ServerSocketChannel server, Function<Connection, Connection.Handler> handlers) {
    try {
      for (SocketChannel channel = server.accept(); channel != null; channel = server.accept()) {
        channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER_BYTES);
        Connection connection = register(channel, SelectionKey.OP_READ);
        connection.handler(handlers.apply(connection));
        connection.handler().opened(connection);
      }
    } catch (IOException e) {
      failure = e;
    }
  }

  /** Dials; how it went is told to the handler. Only on the loop's thread. */
  Connection dial(InetSocketAddress to, Connection.Handler handler) throws IOException {
    SocketChannel channel = SocketChannel.open();
    Connection connection = register(channel, SelectionKey.OP_CONNECT);
    connection.handler(handler);
    try {
      if (channel.connect(to)) {
        connection.connected();
      }
    } catch (IOException e) {
      execute(() -> connection.end(e));
    }
    return connection;
  }

  private Connection register(SocketChannel channel, int interest) throws IOException {
    channel.configureBlocking(false);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    Connection connection = new Connection(channel);
    connection.key(channel.register(selector, interest, connection));
    return connection;
  }

  private void run() {
    try {
      while (!stopped) {
        select();
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
          task.run();
        }
        runTimers();
      }
    } catch (IOException | RuntimeException | Error e) {
      failure = e;
    } finally {
      closeAll();
    }
  }

  private void select() throws IOException {
    Timer first = timers.peek();
    long waitMs = first == null ? 1000 : (first.dueNs() - System.nanoTime()) / 1_000_000;
    if (waitMs <= 0 || !tasks.isEmpty()) {
      selector.selectNow();
    } else {
      selector.select(waitMs);
    }
    for (SelectionKey key : selector.selectedKeys()) {
      if (key.attachment() instanceof Connection connection) {
        ready(connection, key);
      } else {
        ((Runnable) key.attachment()).run();
      }
    }
    selector.selectedKeys().clear();
  }

  private void ready(Connection connection, SelectionKey key) {
    try {
      int ready = key.readyOps();
      if ((ready & SelectionKey.OP_CONNECT) != 0) {
        connection.finishConnect();
      }
      if ((ready & SelectionKey.OP_WRITE) != 0) {
        connection.flush();
      }
      if ((ready & SelectionKey.OP_READ) != 0) {
        connection.read(readBuffer);
      }
    } catch (CancelledKeyException e) {
      connection.end(null);
    }
  }

  private void runTimers() {
    long now = System.nanoTime();
    while (!timers.isEmpty() && timers.peek().dueNs() - now <= 0) {
      timers.poll().task().run();
    }
  }

  private void closeAll() {
    try {
      for (SelectionKey key : selector.keys()) {
        key.channel().close();
      }
      selector.close();
    } catch (IOException e) {
      failure = failure == null ? e : failure;
    }
  }

  @Override
  public void close() {
    stopped = true;
    selector.wakeup();
    try {
      thread.join(JOIN_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
