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
 * Helpers for tests that simulate the systems around an assigner: encoding of messages and endpoint
 * lists, and waiting for a condition.
 */
public final class TestPeers {
  private static final long TIMEOUT_NS = 20_000_000_000L;
  private static final long POLL_INTERVAL_MS = 2;

  private TestPeers() {}

  /** Waits until a condition is true; fails the test after 20 s. */
  public static void awaitUntil(String description, BooleanSupplier condition)
      throws InterruptedException {
    long deadlineNs = System.nanoTime() + TIMEOUT_NS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNs) {
        fail("timed out after 20 s waiting for: " + description);
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  /** Encodes a message from its strings. */
  public static byte[] encodeMessage(String... strings) {
    StringBuilder message = new StringBuilder("*" + strings.length + "\r\n");
    for (String string : strings) {
      message
          .append('$')
          .append(string.getBytes(StandardCharsets.UTF_8).length)
          .append("\r\n")
          .append(string)
          .append("\r\n");
    }
    return message.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Encodes a message from a line of strings separated by spaces. */
  static byte[] encodeLine(String line) {
    return encodeMessage(line.split(" "));
  }

  /** Returns a server entry in the JSON format of discovery. */
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

  /** Returns an endpoint list in the JSON format of discovery. */
  public static String endpointListJson(long generation, boolean reset, String... instances) {
    return "{\"generation\":"
        + generation
        + ",\"reset\":"
        + reset
        + ",\"instances\":["
        + String.join(",", instances)
        + "]}";
  }

  /** Parses an endpoint list with the limits of this process. */
  public static EndpointList readEndpointList(String text, WireNames names)
      throws SettingsException {
    EndpointListReader reader = new EndpointListReader(names, EndpointListLimits.ofThisProcess());
    reader.feed(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    return reader.endOfBody();
  }
}
