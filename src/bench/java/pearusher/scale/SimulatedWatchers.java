package pearusher.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Simulated assigners as discovery sees them: each watches the list, reads all that comes and keeps
 * the generation that it holds. How long a whole list and a change took to arrive is measured; all
 * of them run on one loop.
 */
final class SimulatedWatchers implements AutoCloseable {
  private static final int DIGITS = 3;
  private static final int RECEIVE_BUFFER_BYTES = 128 << 10;
  private static final long REDIAL_NS = 500_000_000L;

  /** The generation stands within so many bytes of a line. */
  private static final int PREFIX_BYTES = 48;

  private static final String GENERATION = "\"generation\":";
  private static final int END_OF_CHUNK_BYTES = 2;

  private final EventLoop loop = new EventLoop("watchers");
  private final InetSocketAddress discovery;
  private final ChangeTimestamps times;
  private final List<Watcher> watchers = new ArrayList<>();
  private final Histogram listUs = new Histogram(DIGITS);
  private final Histogram changeUs = new Histogram(DIGITS);
  private long receivedBytes;
  private int listed;
  private int ended;
  private boolean stopping;
  private String fault;

  /** One watch, read chunk by chunk: a chunk is one line. */
  private final class Watcher implements Connection.Handler {
    private long generation;
    private long dialledNs;
    private boolean isListed;
    private final StringBuilder head = new StringBuilder();
    private boolean inHead;
    private long chunkLeft;
    private final StringBuilder prefix = new StringBuilder();

    void dial() {
      if (stopping) {
        return;
      }
      head.setLength(0);
      prefix.setLength(0);
      inHead = true;
      chunkLeft = 0;
      dialledNs = System.nanoTime();
      try {
        loop.dial(discovery, this);
      } catch (IOException e) {
        fault = "watcher: " + e.getMessage();
      }
    }

    @Override
    public void opened(Connection made) {
      made.receiveBuffer(RECEIVE_BUFFER_BYTES);
      String request =
          "GET /catalog/members?follow=1&since="
              + generation
              + " HTTP/1.1\r\n"
              + "Host: discovery\r\nAccept: application/json\r\n\r\n";
      made.send(request.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void received(Connection from, ByteBuffer bytes) {
      receivedBytes += bytes.remaining();
      while (bytes.hasRemaining()) {
        if (inHead) {
          responseHead(bytes);
        } else if (chunkLeft == 0) {
          chunkHead(bytes);
        } else {
          chunk(bytes);
        }
      }
    }

    private void responseHead(ByteBuffer bytes) {
      head.append((char) bytes.get());
      int length = head.length();
      if (length >= 4 && head.charAt(length - 1) == '\n' && head.charAt(length - 3) == '\n') {
        inHead = false;
        head.setLength(0);
      }
    }

    private void chunkHead(ByteBuffer bytes) {
      char next = (char) bytes.get();
      if (next == '\n') {
        chunkLeft = Long.parseLong(head.toString(), 16) + END_OF_CHUNK_BYTES;
        head.setLength(0);
        prefix.setLength(0);
      } else if (next != '\r') {
        head.append(next);
      }
    }

    private void chunk(ByteBuffer bytes) {
      int count = (int) Math.min(chunkLeft, bytes.remaining());
      for (int k = 0; k < count && prefix.length() < PREFIX_BYTES; k++) {
        prefix.append((char) bytes.get(bytes.position() + k));
      }
      bytes.position(bytes.position() + count);
      chunkLeft -= count;
      if (chunkLeft == 0) {
        line();
      }
    }

    private void line() {
      int at = prefix.indexOf(GENERATION);
      if (at < 0) {
        return;
      }
      long now = System.nanoTime();
      generation =
          Long.parseLong(prefix.substring(at + GENERATION.length(), prefix.indexOf(",", at)));
      if (!isListed) {
        isListed = true;
        listed++;
        listUs.recordValue((now - dialledNs) / 1000);
      } else if (times.sinceNs(generation, now) >= 0) {
        changeUs.recordValue(times.sinceNs(generation, now) / 1000);
      }
    }

    @Override
    public void ended(Connection from, IOException why) {
      ended++;
      loop.schedule(REDIAL_NS, this::dial);
    }
  }

  SimulatedWatchers(int count, InetSocketAddress discovery, ChangeTimestamps times)
      throws IOException {
    this.discovery = discovery;
    this.times = times;
    for (int k = 0; k < count; k++) {
      watchers.add(new Watcher());
    }
  }

  /** All of them dial at once. */
  void watch() {
    loop.execute(() -> watchers.forEach(Watcher::dial));
  }

  /** What watchers have measured up to now. */
  record Figures(
      int listed,
      int ended,
      long receivedBytes,
      Histogram listUs,
      Histogram changeUs,
      String fault) {}

  Figures figures() throws InterruptedException {
    Figures[] out = new Figures[1];
    loop.executeAndWait(
        () ->
            out[0] =
                new Figures(listed, ended, receivedBytes, listUs.copy(), changeUs.copy(), fault));
    return out[0];
  }

  EventLoop loop() {
    return loop;
  }

  @Override
  public void close() {
    loop.execute(() -> stopping = true);
    loop.close();
  }
}
