package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Survival of an assigner with the deployed heap while many connections occupy memory. */
class HeapBoundTest {
  /** Time in which the assigner closes each of the connections here, in milliseconds. */
  private static final int CLOSE_TIMEOUT_MS = 20_000;

  @TempDir Path directory;
  private final List<RespClient> clients = new ArrayList<>();
  private DeployedAssigner assigner;

  @BeforeEach
  void startWithTheDeployedHeap() throws Exception {
    assigner = DeployedAssigner.start(directory);
  }

  @AfterEach
  void closeAll() throws IOException {
    for (RespClient client : clients) {
      client.close();
    }
    assigner.close();
  }

  private static byte[] unfinishedMessageOfShortStrings(int announcedStrings, int bytes) {
    StringBuilder text = new StringBuilder("*" + announcedStrings + "\r\n");
    while (text.length() < bytes) {
      text.append("$1\r\nx\r\n");
    }
    return text.toString().getBytes(StandardCharsets.US_ASCII);
  }

  private RespClient connect() throws IOException {
    RespClient client = new RespClient(assigner.address);
    clients.add(client);
    return client;
  }

  /** Sends bytes on a connection that the assigner may close at any time. */
  private static void sendUnlessClosed(RespClient client, byte[] bytes) {
    try {
      client.send(bytes);
    } catch (IOException closed) {
      return;
    }
  }

  /** Waits until the assigner, or its end, has closed all connections that clients opened. */
  private void awaitEndOfClients() throws IOException {
    for (RespClient client : clients) {
      client.socket.setSoTimeout(CLOSE_TIMEOUT_MS);
      try {
        assertEquals(-1, client.socket.getInputStream().read());
      } catch (SocketException reset) {
        assertFalse(client.socket.isClosed());
      }
    }
  }

  /**
   * Hundreds of unidentified connections each leave some kilobytes of short strings unfinished.
   * Guards against running out of memory because a string of one character occupies several times
   * its received bytes.
   */
  @Test
  void hundredsOfUnfinishedMessagesOfShortStringsFitIntoTheHeap() throws Exception {
    byte[] unfinished = unfinishedMessageOfShortStrings(5_000, 8_000);
    for (int k = 0; k < 900; k++) {
      sendUnlessClosed(connect(), unfinished);
    }
    awaitEndOfClients();
    assigner.assertAnswersPing();
  }

  /** Guards against the same expansion in a few messages of nearly the maximum size. */
  @Test
  void longUnfinishedMessagesOfShortStringsFitIntoTheHeap() throws Exception {
    byte[] unfinished = unfinishedMessageOfShortStrings(200_000, 1_000_000);
    for (int k = 0; k < 12; k++) {
      RespClient collector = connect();
      collector.send("collector zone north");
      sendUnlessClosed(collector, unfinished);
    }
    awaitEndOfClients();
    assigner.assertAnswersPing();
  }

  /**
   * Collectors send complete load reports of nearly the maximum size, with metrics of a few
   * characters. Guards against running out of memory because the parsed metrics occupy many times
   * the received bytes.
   */
  @Test
  void loadReportsOfVeryManyMetricsFitIntoTheHeap() throws Exception {
    byte[] report =
        TestPeers.encodeMessage(
            ("heard zone north server s-5be2a07c tries 1 failed 0 mean_ms 40 span_ms 1000 load "
                    + manyMetrics(1_000_000))
                .split(" "));
    List<Thread> senders = new ArrayList<>();
    for (int k = 0; k < 8; k++) {
      Thread sender = new Thread(() -> sendOnNewConnections(report, 12));
      sender.start();
      senders.add(sender);
    }
    for (Thread sender : senders) {
      sender.join();
    }
    assigner.assertAnswersPing();
  }

  /** Sends a message of a collector a number of times, each on a connection of its own. */
  private void sendOnNewConnections(byte[] message, int times) {
    for (int k = 0; k < times && assigner.isAlive(); k++) {
      try (RespClient collector = new RespClient(assigner.address).startReading()) {
        collector.send("collector zone north");
        collector.send(message);
        collector.send("ping");
        TestPeers.awaitUntil(
            "a pong, or the end of the connection",
            () -> collector.isEnded || !collector.received.isEmpty());
      } catch (IOException closed) {
        // The assigner has closed the connection, which it may do under pressure.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private static String manyMetrics(int length) {
    StringBuilder load = new StringBuilder("inflight:7");
    for (int k = 0; load.length() < length; k++) {
      load.append(',').append(Integer.toString(k, Character.MAX_RADIX)).append(":1");
    }
    return load.toString();
  }
}
