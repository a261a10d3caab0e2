package pearusher.server;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.HdrHistogram.Histogram;
import pearusher.control.ProxyStream;
import pearusher.protocol.RespException;
import pearusher.protocol.RespReader;

/**
 * A simulated channel between an assigner and its proxies, which delivers updates in order at a
 * limited rate. Thread-safe, because the store's thread may send updates. Grows with the backlog.
 */
final class SimulatedChannel {
  private static final long MAX_RECORDED_NS = 60_000_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;

  /** An update in transit to a proxy. */
  record Delivery(long arrivalUs, long sentUs, Stream stream, List<List<String>> parts) {}

  /** The stream of one proxy. */
  final class Stream implements ProxyStream {
    private final int proxy;

    private Stream(int proxy) {
      this.proxy = proxy;
    }

    int proxy() {
      return proxy;
    }

    @Override
    public void send(byte[] message) {
      transmit(this, message);
    }

    @Override
    public void onReplaced() {}
  }

  private final double overheadLines;
  private final double linesPerSecond;
  private final LongSupplier clockUs;
  private final ArrayDeque<Delivery> backlog = new ArrayDeque<>();
  private final Histogram sendDelaysNs = new Histogram(MAX_RECORDED_NS, SIGNIFICANT_DIGITS);
  private long freeAtUs;
  private long messageCount;
  private long lineCount;

  /** The end of the event loop's last iteration; 0 while an iteration runs. */
  private volatile long iterationEndNs;

  /**
   * Creates an empty channel.
   *
   * @param overheadLines cost of a message in addition to its entries, in lines
   * @param linesPerSecond the rate limit
   */
  SimulatedChannel(double overheadLines, double linesPerSecond, LongSupplier clockUs) {
    this.overheadLines = overheadLines;
    this.linesPerSecond = linesPerSecond;
    this.clockUs = clockUs;
  }

  Stream openStream(int proxy) {
    return new Stream(proxy);
  }

  void onIterationStart() {
    iterationEndNs = 0;
  }

  void onIterationEnd(long nowNs) {
    iterationEndNs = nowNs;
  }

  private synchronized void transmit(Stream stream, byte[] message) {
    long nowNs = System.nanoTime();
    // An update that is sent during the iteration has no delay.
    sendDelaysNs.recordValue(iterationEndNs == 0 ? 0 : Math.max(0, nowNs - iterationEndNs));
    List<List<String>> parts = decode(message);
    double lines = overheadLines;
    for (List<String> part : parts) {
      lines += countLines(part);
    }
    messageCount++;
    lineCount += Math.round(lines);
    long nowUs = clockUs.getAsLong();
    freeAtUs = Math.max(freeAtUs, nowUs) + Math.round(lines / linesPerSecond * 1e6);
    backlog.add(new Delivery(freeAtUs, nowUs, stream, parts));
  }

  private static List<List<String>> decode(byte[] message) {
    List<List<String>> parts = new ArrayList<>();
    ByteBuffer bytes = ByteBuffer.wrap(message);
    try (RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES)) {
      for (List<String> part = reader.next(bytes); part != null; part = reader.next(bytes)) {
        parts.add(part);
      }
    } catch (RespException e) {
      throw new IllegalStateException("the assigner sent a malformed message", e);
    }
    return parts;
  }

  private static int countLines(List<String> part) {
    int lines = 0;
    for (int k = 1; k < part.size(); k += 2) {
      lines +=
          switch (part.get(k)) {
            case "lines", "out", "back" -> part.get(k + 1).split(",").length;
            case "level", "ticket", "whole" -> 1;
            default -> 0;
          };
    }
    return lines;
  }

  /** Delivers all updates whose arrival time has been reached. */
  synchronized void deliverDue(Consumer<Delivery> receiver) {
    while (!backlog.isEmpty() && backlog.peek().arrivalUs() <= clockUs.getAsLong()) {
      receiver.accept(backlog.poll());
    }
  }

  synchronized void resetCounts() {
    messageCount = 0;
    lineCount = 0;
  }

  synchronized long messageCount() {
    return messageCount;
  }

  synchronized long lineCount() {
    return lineCount;
  }

  /**
   * Returns a percentile of the time from the end of an iteration to the sending of its updates.
   */
  synchronized long sendDelayNs(double percentile) {
    return sendDelaysNs.getValueAtPercentile(percentile);
  }
}
