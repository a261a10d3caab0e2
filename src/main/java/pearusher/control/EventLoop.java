package pearusher.control;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The controller's event loop, with its clock and timers. An iteration handles a burst of events:
 * those that arrive without a pause of one tick. It reads the clock once, runs the events, fires
 * the due timers, and then calls {@link Handler#onIterationEnd} once. Any thread may call {@link
 * #add} and {@link #pendingEvents}; all other methods are for the event-loop thread.
 *
 * <p>The queue grows with the number of pending events. {@link BoundedReportQueue} bounds the
 * reports among them; other events are unbounded.
 */
final class EventLoop {
  /** Maximum time for which an iteration waits for the end of a burst. */
  private static final int MAX_BURST_TICKS = 4;

  /** Limits an iteration so that a flood of events cannot delay timers and updates. */
  private static final int MAX_EVENTS_PER_ITERATION = BoundedReportQueue.CAPACITY;

  /** Maximum wait for an event while the intake is overloaded. */
  private static final long MAX_OVERLOAD_WAIT_US = 20_000;

  /** Steps of an iteration other than its events; called on the event-loop thread. */
  interface Handler {
    /** Waits for one tick. */
    void awaitTick() throws InterruptedException;

    /** Returns whether reports are queued outside the event loop without a corresponding event. */
    boolean isOverloaded();

    /** Delivers the due reports among those queued without a corresponding event. */
    void deliverQueuedReports();

    /** Handles a due timer. */
    void onTimer(long token);

    /** Ends the iteration, after its events and timers. */
    void onIterationEnd();
  }

  private final LinkedBlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
  private final TimerQueue timers = new TimerQueue();
  private final LongSupplier clock;
  private final Consumer<Throwable> failureHandler;
  private final Handler handler;
  private long nowUs;

  /**
   * @param clock returns the time in microseconds
   * @param failureHandler called with the exception or error that an event, a timer or the end of
   *     an iteration threw, which ends the loop
   */
  EventLoop(LongSupplier clock, Consumer<Throwable> failureHandler, Handler handler) {
    this.clock = clock;
    this.failureHandler = failureHandler;
    this.handler = handler;
  }

  /** Queues an event; any thread may call it. */
  void add(Runnable event) {
    events.add(event);
  }

  /** Returns the number of queued events; any thread may call it. */
  int pendingEvents() {
    return events.size();
  }

  /** Returns the time of the current iteration, in microseconds of the clock. */
  long nowUs() {
    return nowUs;
  }

  /** Sets the time of the first iteration from the clock. */
  void start() {
    nowUs = clock.getAsLong();
  }

  /** Sets a timer relative to the time of the current iteration; a negative delay counts as 0. */
  void setTimer(long delayUs, long token) {
    timers.add(nowUs + Math.max(0, delayUs), token);
  }

  /** Returns the number of pending timers. */
  int timerCount() {
    return timers.size();
  }

  /** Runs iterations until the calling thread is interrupted or an iteration fails. */
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

  /** Waits for an event or a due timer, then runs one iteration. */
  void runIteration() throws InterruptedException {
    boolean isOverloaded = handler.isOverloaded();
    Runnable firstEvent = awaitEvent(isOverloaded);
    if (firstEvent != null) {
      awaitBurstEnd();
    }
    nowUs = Math.max(nowUs, clock.getAsLong());
    boolean needsIterationEnd = runEvents(firstEvent);
    if (isOverloaded) {
      handler.deliverQueuedReports();
      needsIterationEnd = true;
    }
    needsIterationEnd |= fireTimers();
    if (needsIterationEnd) {
      handler.onIterationEnd();
    }
  }

  /** Returns the first event, or null if a timer falls due or the wait times out before it. */
  private Runnable awaitEvent(boolean isOverloaded) throws InterruptedException {
    long waitUs = timers.isEmpty() ? Long.MAX_VALUE : timers.nextDueUs() - clock.getAsLong();
    if (isOverloaded) {
      waitUs = Math.min(waitUs, MAX_OVERLOAD_WAIT_US);
    }
    return waitUs <= 0 ? events.poll() : events.poll(waitUs, TimeUnit.MICROSECONDS);
  }

  /**
   * Waits until no event arrives for one tick, up to a limit. Reports that were sent at the same
   * time arrive over several connections within some milliseconds, and a control period should not
   * see only some of them.
   */
  private void awaitBurstEnd() throws InterruptedException {
    int previousSize = -1;
    for (int tick = 0; tick < MAX_BURST_TICKS && events.size() != previousSize; tick++) {
      previousSize = events.size();
      handler.awaitTick();
    }
  }

  private boolean runEvents(Runnable firstEvent) {
    Runnable event = firstEvent;
    for (int count = 1; event != null; count++) {
      event.run();
      event = count < MAX_EVENTS_PER_ITERATION ? events.poll() : null;
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
