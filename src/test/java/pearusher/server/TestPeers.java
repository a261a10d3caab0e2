package pearusher.server;

import static org.junit.jupiter.api.Assertions.fail;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import pearusher.protocol.EndpointList;
import pearusher.protocol.EndpointListLimits;
import pearusher.protocol.EndpointListReader;
import pearusher.protocol.WireNames;
import pearusher.sitesettings.SettingsException;

/**
 * Helpers of tests that play the systems around an assigner: messages, endpoint lists and waits.
 */
public final class TestPeers {
  private static final long TIMEOUT_NS = 20_000_000_000L;
  private static final long POLL_INTERVAL_MS = 2;

  private TestPeers() {}

  /** Waits until a condition holds; fails the test after a timeout. */
  public static void awaitUntil(String description, BooleanSupplier condition)
      throws InterruptedException {
    long deadlineNs = System.nanoTime() + TIMEOUT_NS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNs) {
        fail("never happened: " + description);
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  /** Encodes a message, given by its words. */
  public static byte[] encodeMessage(String... words) {
    StringBuilder message = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      message
          .append('$')
          .append(word.getBytes(StandardCharsets.UTF_8).length)
          .append("\r\n")
          .append(word)
          .append("\r\n");
    }
    return message.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Encodes a message, given by its words with spaces between. */
  static byte[] encodeLine(String line) {
    return encodeMessage(line.split(" "));
  }

  /** A server of an endpoint list, as discovery writes it. */
  public static String endpointJson(
      String id, String address, String zone, String lifecycle, long startedAtMs) {
    return "{\"instanceId\":\""
        + id
        + "\",\"hostPort\":\""
        + address
        + "\",\"zone\":\""
        + zone
        + "\",\"machineType\":\"small\",\"cell\":0,\"lifecycle\":\""
        + lifecycle
        + "\",\"weight\":1.0,\"startedAtMs\":"
        + startedAtMs
        + "}";
  }

  /** An endpoint list, as discovery writes it. */
  public static String endpointListJson(long generation, boolean reset, String... instances) {
    return "{\"generation\":"
        + generation
        + ",\"reset\":"
        + reset
        + ",\"instances\":["
        + String.join(",", instances)
        + "]}";
  }

  /** Reads an endpoint list. */
  public static EndpointList readEndpointList(String text, WireNames names)
      throws SettingsException {
    EndpointListReader reader = new EndpointListReader(names, EndpointListLimits.ofThisProcess());
    reader.feed(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    return reader.endOfBody();
  }
}
