package pearusher.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Simulated assigners that only watch the endpoint list. Each reads all list events and stores the
 * generation of the last one. Measures how long a complete list and a change take to arrive. All
 * watchers run on one event loop. Grows with the number of watchers.
 */
final class SimulatedWatchers implements AutoCloseable {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int RECEIVE_BUFFER_BYTES = 128 << 10;
  private static final long RECONNECT_DELAY_NS = 500_000_000L;

  /** The length of the prefix of a list event that contains the generation. */
  private static final int PREFIX_BYTES = 48;

  private static final String GENERATION = "\"generation\":";
  private static final int END_OF_CHUNK_BYTES = 2;

  private final EventLoop loop = new EventLoop("watchers");
  private final InetSocketAddress discovery;
  private final ChangeTimestamps timestamps;
  private final List<Watcher> watchers = new ArrayList<>();
  private final Histogram listUs = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram changeUs = new Histogram(SIGNIFICANT_DIGITS);
  private long receivedBytes;
  private int listedCount;
  private int disconnectCount;
  private String connectFailure;

  /** One watch of the endpoint list. Each HTTP chunk is one list event. */
  private final class Watcher implements Connection.Handler {
    private long generation;
    private long connectStartNs;
    private boolean hasList;
    private final StringBuilder head = new StringBuilder();
    private boolean isInHead;
    private long chunkBytesLeft;
    private final StringBuilder prefix = new StringBuilder();

    void connect() {
      if (loop.isStopped()) {
        return;
      }
      head.setLength(0);
      prefix.setLength(0);
      isInHead = true;
      chunkBytesLeft = 0;
      connectStartNs = System.nanoTime();
      try {
        loop.connect(discovery, this);
      } catch (IOException e) {
        connectFailure = "watcher: " + e.getMessage();
      }
    }

    @Override
    public void onOpened(Connection connection) {
      connection.setReceiveBufferBytes(RECEIVE_BUFFER_BYTES);
      String request =
          "GET /catalog/members?follow=1&since="
              + generation
              + " HTTP/1.1\r\n"
              + "Host: discovery\r\nAccept: application/json\r\n\r\n";
      connection.send(request.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void onReceived(Connection from, ByteBuffer bytes) {
      receivedBytes += bytes.remaining();
      while (bytes.hasRemaining()) {
        if (isInHead) {
          readResponseHead(bytes);
        } else if (chunkBytesLeft == 0) {
          readChunkHead(bytes);
        } else {
          readChunk(bytes);
        }
      }
    }

    private void readResponseHead(ByteBuffer bytes) {
      head.append((char) bytes.get());
      int length = head.length();
      if (length >= 4 && head.charAt(length - 1) == '\n' && head.charAt(length - 3) == '\n') {
        isInHead = false;
        head.setLength(0);
      }
    }

    private void readChunkHead(ByteBuffer bytes) {
      char next = (char) bytes.get();
      if (next == '\n') {
        chunkBytesLeft = Long.parseLong(head.toString(), 16) + END_OF_CHUNK_BYTES;
        head.setLength(0);
        prefix.setLength(0);
      } else if (next != '\r') {
        head.append(next);
      }
    }

    private void readChunk(ByteBuffer bytes) {
      int count = (int) Math.min(chunkBytesLeft, bytes.remaining());
      for (int k = 0; k < count && prefix.length() < PREFIX_BYTES; k++) {
        prefix.append((char) bytes.get(bytes.position() + k));
      }
      bytes.position(bytes.position() + count);
      chunkBytesLeft -= count;
      if (chunkBytesLeft == 0) {
        recordListEvent();
      }
    }

    private void recordListEvent() {
      int start = prefix.indexOf(GENERATION);
      if (start < 0) {
        return;
      }
      long nowNs = System.nanoTime();
      generation =
          Long.parseLong(prefix.substring(start + GENERATION.length(), prefix.indexOf(",", start)));
      if (!hasList) {
        hasList = true;
        listedCount++;
        listUs.recordValue((nowNs - connectStartNs) / 1000);
      } else {
        timestamps
            .sinceNs(generation, nowNs)
            .ifPresent(elapsedNs -> changeUs.recordValue(elapsedNs / 1000));
      }
    }

    @Override
    public void onEnded(Connection from, IOException cause) {
      disconnectCount++;
      loop.schedule(RECONNECT_DELAY_NS, this::connect);
    }
  }

  SimulatedWatchers(int count, InetSocketAddress discovery, ChangeTimestamps timestamps)
      throws IOException {
    this.discovery = discovery;
    this.timestamps = timestamps;
    for (int k = 0; k < count; k++) {
      watchers.add(new Watcher());
    }
  }

  /** Connects all watchers at once. */
  void start() {
    loop.execute(() -> watchers.forEach(Watcher::connect));
  }

  /** A snapshot of the measurements. */
  record Figures(
      int listedCount,
      int disconnectCount,
      long receivedBytes,
      Histogram listUs,
      Histogram changeUs,
      String connectFailure) {}

  Figures figures() throws InterruptedException {
    return loop.call(
        () ->
            new Figures(
                listedCount,
                disconnectCount,
                receivedBytes,
                listUs.copy(),
                changeUs.copy(),
                connectFailure));
  }

  EventLoop loop() {
    return loop;
  }

  @Override
  public void close() {
    loop.close();
  }
}
