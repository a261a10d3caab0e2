package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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
  private static final String LOG = "log";

  /** Time in which the assigner closes each of the connections here, in milliseconds. */
  private static final int CLOSE_TIMEOUT_MS = 20_000;

  @TempDir Path directory;
  private final List<RespClient> clients = new ArrayList<>();
  private AssignerProcesses processes;
  private Process process;
  private InetSocketAddress address;

  @BeforeEach
  void startWithTheDeployedHeap() throws Exception {
    processes = new AssignerProcesses(directory);
    int port = processes.holdPort();
    address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    process =
        processes.launch(
            new ExampleConfig().listen("127.0.0.1:" + port).write(directory),
            LOG,
            List.of("/bin/sh", "-c", AssignerProcesses.deployCommand()));
    processes.awaitReady(LOG);
  }

  @AfterEach
  void closeAll() throws IOException {
    for (RespClient client : clients) {
      client.close();
    }
    processes.close();
  }

  private static byte[] unfinishedMessageOfShortStrings(int announcedStrings, int bytes) {
    StringBuilder text = new StringBuilder("*" + announcedStrings + "\r\n");
    while (text.length() < bytes) {
      text.append("$1\r\nx\r\n");
    }
    return text.toString().getBytes(StandardCharsets.US_ASCII);
  }

  private RespClient connect() throws IOException {
    RespClient client = new RespClient(address);
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

  private void assertAnswersPing() throws Exception {
    assertTrue(process.isAlive(), () -> processes.log(LOG));
    try (RespClient client = new RespClient(address).startReading()) {
      client.send("ping");
      TestPeers.awaitUntil("a pong", () -> client.received.contains(List.of("pong")));
    }
    assertFalse(processes.log(LOG).contains("OutOfMemory"), () -> processes.log(LOG));
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
    assertAnswersPing();
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
    assertAnswersPing();
  }
}
