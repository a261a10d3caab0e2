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
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * A thread with a selector, which runs non-blocking connections, timers and tasks from other
 * threads. All handlers of a loop run on its thread, so state owned by one loop needs no locks. The
 * thread blocks in the selector only.
 */
final class EventLoop implements AutoCloseable {
  private static final int READ_BUFFER_BYTES = 256 << 10;

  /**
   * Limits the memory of the kernel's copies of the endpoint list when thousands of watchers read
   * it.
   */
  private static final int SEND_BUFFER_BYTES = 256 << 10;

  private static final int ACCEPT_BACKLOG = 4096;
  private static final long JOIN_TIMEOUT_MS = 5_000;

  private record Timer(long dueNs, long sequence, Runnable task) {}

  private final Selector selector;
  private final Thread thread;
  private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) ->
              a.dueNs() != b.dueNs()
                  ? Long.compare(a.dueNs() - b.dueNs(), 0)
                  : Long.compare(a.sequence(), b.sequence()));
  private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
  private volatile boolean isStopped;
  private volatile Throwable failure;
  private long timerSequence;

  EventLoop(String name) throws IOException {
    selector = Selector.open();
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public String toString() {
    return "event loop " + thread.getName();
  }

  /** Returns the failure that ended the loop's thread; null while it runs. */
  Throwable failure() {
    return failure;
  }

  void execute(Runnable task) {
    tasks.add(task);
    selector.wakeup();
  }

  /**
   * Runs a task on the loop's thread and waits for its end.
   *
   * @throws IllegalStateException if the loop's thread has ended
   */
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
        throw new IllegalStateException("event loop " + thread.getName() + " has ended", failure);
      }
    }
  }

  /**
   * Runs a task on the loop's thread, waits for its end and returns its result.
   *
   * @throws IllegalStateException if the loop's thread has ended
   */
  <T> T call(Supplier<T> task) throws InterruptedException {
    AtomicReference<T> result = new AtomicReference<>();
    executeAndWait(() -> result.set(task.get()));
    return result.get();
  }

  /** Returns whether the loop is being closed, so that no more connections should be opened. */
  boolean isStopped() {
    return isStopped;
  }

  /** Runs a task after a delay. Must be called on the loop's thread. */
  void schedule(long delayNs, Runnable task) {
    timers.add(new Timer(System.nanoTime() + Math.max(0, delayNs), timerSequence++, task));
  }

  /** Runs a task every {@code periodNs}. May be called from any thread. */
  void scheduleAtFixedRate(long periodNs, Runnable task) {
    execute(() -> scheduleRepeat(System.nanoTime() + periodNs, periodNs, task));
  }

  private void scheduleRepeat(long dueNs, long periodNs, Runnable task) {
    timers.add(
        new Timer(
            dueNs,
            timerSequence++,
            () -> {
              task.run();
              scheduleRepeat(
                  Math.max(dueNs + periodNs, System.nanoTime() - periodNs), periodNs, task);
            }));
  }

  /** Listens on a free port of the loopback interface and returns the address. */
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
        connection.setHandler(handlers.apply(connection));
        connection.handler().onOpened(connection);
      }
    } catch (IOException e) {
      failure = e;
    }
  }

  /**
   * Opens a connection and reports the result to the handler. Must be called on the loop's thread.
   */
  Connection connect(InetSocketAddress address, Connection.Handler handler) throws IOException {
    SocketChannel channel = SocketChannel.open();
    Connection connection = register(channel, SelectionKey.OP_CONNECT);
    connection.setHandler(handler);
    try {
      if (channel.connect(address)) {
        connection.onConnected();
      }
    } catch (IOException e) {
      execute(() -> connection.terminate(e));
    }
    return connection;
  }

  private Connection register(SocketChannel channel, int interest) throws IOException {
    channel.configureBlocking(false);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    Connection connection = new Connection(channel);
    connection.setKey(channel.register(selector, interest, connection));
    return connection;
  }

  private void run() {
    try {
      while (!isStopped) {
        select();
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
          task.run();
        }
        runTimers();
      }
    } catch (IOException | RuntimeException | Error e) {
      failure = e;
    } finally {
      closeChannels();
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
        dispatch(connection, key);
      } else {
        ((Runnable) key.attachment()).run();
      }
    }
    selector.selectedKeys().clear();
  }

  private void dispatch(Connection connection, SelectionKey key) {
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
      connection.terminate(null);
    }
  }

  private void runTimers() {
    long nowNs = System.nanoTime();
    while (!timers.isEmpty() && timers.peek().dueNs() - nowNs <= 0) {
      timers.poll().task().run();
    }
  }

  private void closeChannels() {
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
    isStopped = true;
    selector.wakeup();
    try {
      thread.join(JOIN_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
