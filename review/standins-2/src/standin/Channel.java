package standin;

import java.util.ArrayDeque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The update channel of an assigner: one queue, whose messages leave one after the other at the
 * stated pace of lines and then take the stated mean time to the relay.
 */
final class Channel {
  private final Settings settings;
  private final Record record;
  private final ScheduledExecutorService executor;
  private final ArrayDeque<double[]> waiting = new ArrayDeque<>();
  private double freeAtUs;
  private double mostLines;
  private long messages;
  private double lines;

  Channel(Settings settings, Record record, ScheduledExecutorService executor) {
    this.settings = settings;
    this.record = record;
    this.executor = executor;
  }

  /** Queues a message, whose last byte has come. */
  synchronized void enter(int contentLines, Runnable delivery) {
    double nowUs = record.nowUs();
    double cost = contentLines + settings.fixedCost;
    freeAtUs = Math.max(freeAtUs, nowUs) + cost / settings.channelRate * 1e6;
    while (!waiting.isEmpty() && waiting.peek()[0] <= nowUs) {
      waiting.poll();
    }
    waiting.add(new double[] {freeAtUs, cost});
    mostLines = Math.max(mostLines, waiting.stream().mapToDouble(entry -> entry[1]).sum());
    messages++;
    lines += cost;
    long delayUs = (long) (freeAtUs - nowUs) + settings.transitUs;
    executor.schedule(delivery, delayUs, TimeUnit.MICROSECONDS);
  }

  /** Returns the messages and lines since the last call, and the most lines that ever waited. */
  synchronized String summary() {
    String text =
        String.format(
            "channel: %d messages, %.0f lines; most waiting so far %.0f of %.0f",
            messages, lines, mostLines, settings.mostWaiting());
    messages = 0;
    lines = 0;
    return text;
  }
}
