package pearusher.control;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The event loop of the decision thread, with its clock and its timers. Events wait in a queue;
 * those that come without a tick's pause make one turn, which has one time, runs the timers that
 * are due after the events, and is closed once. Any thread may add an event; all else belongs to
 * the decision thread. The queue grows with the events that no turn has taken yet: reports are
 * bounded by {@link BoundedReportQueue}, other events are not.
 */
final class EventLoop {
  /** Most ticks of the settings for which a turn waits for more of a burst. */
  private static final int MOST_TICKS = 4;

  /** Most events of one turn. */
  private static final int MOST_EVENTS = BoundedReportQueue.MOST_REPORTS;

  /** What a turn is made of, besides its events. The decision thread calls it. */
  interface Handler {
    /** Waits for one tick. */
    void awaitTick() throws InterruptedException;

    /** Whether reports wait outside of the queue, which no event announces. */
    boolean isOverloaded();

    /** Handles those of them that are due. */
    void deliverDue();

    void onTimer(long token);

    /** The turn ends. */
    void onIterationEnd();
  }

  private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
  private final TimerQueue timers = new TimerQueue();
  private final LongSupplier clock;
  private final Consumer<Throwable> failed;
  private final Handler handler;
  private long nowUs;

  /** {@code failed} hears what ended the loop, if an event, a timer or the close threw it. */
  EventLoop(LongSupplier clock, Consumer<Throwable> failed, Handler handler) {
    this.clock = clock;
    this.failed = failed;
    this.handler = handler;
  }

  /** Adds an event for the next turn, from any thread. */
  void add(Runnable event) {
    queue.add(event);
  }

  /** Events that wait. */
  int size() {
    return queue.size();
  }

  /** The time of the turn. */
  long nowUs() {
    return nowUs;
  }

  /** Reads the clock before the first turn. */
  void start() {
    nowUs = clock.getAsLong();
  }

  /** Sets a timer, counted from the time of the turn. */
  void setTimer(long delayUs, long token) {
    timers.add(nowUs + Math.max(0, delayUs), token);
  }

  /** Timers that are set. */
  int timers() {
    return timers.size();
  }

  /** Makes turns until the thread is interrupted or a turn fails. */
  void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        runIteration();
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error failure) {
      failed.accept(failure);
    }
  }

  /** Waits for an event or a timer; what comes without a tick's pause is one turn. */
  void runIteration() throws InterruptedException {
    long waitUs = timers.isEmpty() ? Long.MAX_VALUE : timers.nextDueUs() - clock.getAsLong();
    boolean flooded = handler.isOverloaded();
    waitUs = flooded ? Math.min(waitUs, SynchronizedIntake.SERVE_US) : waitUs;
    Runnable first = waitUs <= 0 ? queue.poll() : queue.poll(waitUs, TimeUnit.MICROSECONDS);
    if (first != null) {
      gather();
    }
    boolean acted = first != null;
    nowUs = Math.max(nowUs, clock.getAsLong());
    // A flood makes several turns, so that timers and orders are not held up by it.
    for (int k = 1; first != null; k++) {
      first.run();
      first = k < MOST_EVENTS ? queue.poll() : null;
    }
    if (flooded) {
      handler.deliverDue();
      acted = true;
    }
    while (timers.isDue(nowUs)) {
      handler.onTimer(timers.poll());
      acted = true;
    }
    if (acted) {
      handler.onIterationEnd();
    }
  }

  /**
   * Lets the rest of a burst come: the reports of one instant reach the simulator's module in one
   * batch, here by several connections within some milliseconds. Guards against a pass that sees a
   * part of a period's reports and keeps the others for the next. While events keep coming it ends
   * after a few ticks.
   */
  private void gather() throws InterruptedException {
    int before = -1;
    for (int tick = 0; tick < MOST_TICKS && queue.size() != before; tick++) {
      before = queue.size();
      handler.awaitTick();
    }
  }
}
