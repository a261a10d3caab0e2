package pearusher.control;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The controller's event loop, with its clock and timers. Events that arrive without a pause of a
 * tick make one iteration, which has a single time, fires the timers that are due after its events,
 * and ends once. Any thread may add an event, all else belongs to the event-loop thread.
 *
 * <p>The queue grows with the events that no iteration has taken yet: reports are bounded by {@link
 * BoundedReportQueue}, other events are not.
 */
final class EventLoop {
  /** Most ticks for which an iteration waits for the rest of a burst. */
  private static final int MAX_GATHER_TICKS = 4;

  /** Most events of one iteration, so that a flood of them cannot hold up timers and updates. */
  private static final int MAX_EVENTS = BoundedReportQueue.CAPACITY;

  /** Longest wait while the intake is overloaded, in microseconds. */
  private static final long OVERLOADED_WAIT_US = 20_000;

  /** Handles the parts of an iteration besides its events, on the event-loop thread. */
  interface Handler {
    /** Waits for one tick. */
    void awaitTick() throws InterruptedException;

    /** Whether reports wait outside of the queue that no event announces. */
    boolean isOverloaded();

    /** Handles those of the unannounced reports that are due. */
    void deliverDue();

    /** A timer is due. */
    void onTimer(long token);

    /** The iteration ends. */
    void onIterationEnd();
  }

  private final LinkedBlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
  private final TimerQueue timers = new TimerQueue();
  private final LongSupplier clock;
  private final Consumer<Throwable> failureHandler;
  private final Handler handler;
  private long nowUs;

  /**
   * @param clock gives microseconds
   * @param failureHandler called with what an event, a timer or the end of an iteration threw,
   *     which ends the loop
   */
  EventLoop(LongSupplier clock, Consumer<Throwable> failureHandler, Handler handler) {
    this.clock = clock;
    this.failureHandler = failureHandler;
    this.handler = handler;
  }

  /** Adds an event, from any thread. */
  void add(Runnable event) {
    events.add(event);
  }

  /** Returns the number of events that wait. */
  int pendingEvents() {
    return events.size();
  }

  /** Returns the time of the iteration. */
  long nowUs() {
    return nowUs;
  }

  /** Reads the clock before the first iteration. */
  void start() {
    nowUs = clock.getAsLong();
  }

  /** Sets a timer, counted from the time of the iteration. */
  void setTimer(long delayUs, long token) {
    timers.add(nowUs + Math.max(0, delayUs), token);
  }

  /** Returns the number of timers that are set. */
  int timerCount() {
    return timers.size();
  }

  /** Runs iterations until the thread is interrupted or one of them fails. */
  void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        runIteration();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error failure) {
      failureHandler.accept(failure);
    }
  }

  /** Waits for an event or a timer, and runs one iteration. */
  void runIteration() throws InterruptedException {
    boolean isOverloaded = handler.isOverloaded();
    Runnable firstEvent = awaitEvent(isOverloaded);
    if (firstEvent != null) {
      gatherBurst();
    }
    nowUs = Math.max(nowUs, clock.getAsLong());
    boolean hasActed = runEvents(firstEvent);
    if (isOverloaded) {
      handler.deliverDue();
      hasActed = true;
    }
    hasActed |= fireTimers();
    if (hasActed) {
      handler.onIterationEnd();
    }
  }

  /** Returns the first event, or null if a timer is due or the wait is over before one arrives. */
  private Runnable awaitEvent(boolean isOverloaded) throws InterruptedException {
    long waitUs = timers.isEmpty() ? Long.MAX_VALUE : timers.nextDueUs() - clock.getAsLong();
    if (isOverloaded) {
      waitUs = Math.min(waitUs, OVERLOADED_WAIT_US);
    }
    return waitUs <= 0 ? events.poll() : events.poll(waitUs, TimeUnit.MICROSECONDS);
  }

  /**
   * Waits for the rest of a burst, up to a few ticks. The reports of one instant arrive over
   * several connections within some milliseconds, and a control period should not see only a part
   * of them.
   */
  private void gatherBurst() throws InterruptedException {
    int previousSize = -1;
    for (int tick = 0; tick < MAX_GATHER_TICKS && events.size() != previousSize; tick++) {
      previousSize = events.size();
      handler.awaitTick();
    }
  }

  private boolean runEvents(Runnable firstEvent) {
    Runnable event = firstEvent;
    for (int count = 1; event != null; count++) {
      event.run();
      event = count < MAX_EVENTS ? events.poll() : null;
    }
    return firstEvent != null;
  }

  private boolean fireTimers() {
    boolean hasFired = false;
    while (timers.isDue(nowUs)) {
      handler.onTimer(timers.remove());
      hasFired = true;
    }
    return hasFired;
  }
}
