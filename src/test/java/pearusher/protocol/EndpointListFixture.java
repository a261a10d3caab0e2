package pearusher.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pearusher.server.TestPeers;

/** Endpoint list as JSON text, and readers that receive it in pieces. */
final class EndpointListFixture {
  private static final long HEAP_BYTES = 40L << 20;
  static final WireNames NAMES =
      new WireNames(
          Map.of("north", 0, "south", 1),
          List.of(),
          Map.of(),
          new HashMap<>(Map.of("small", 0, "large", 1)),
          List.of());
  static final String LIST =
      TestPeers.endpointListJson(
          43,
          true,
          TestPeers.endpointJson(
              "s-ä-€-\\u00e9", "127.0.0.1:1", "south", "terminating", 1_700_000_000_123L),
          TestPeers.endpointJson("b", "127.0.0.1:2", "north", "in_service", 0));

  static EndpointListReader reader(int maxListed) {
    return new EndpointListReader(NAMES, new EndpointListLimits(maxListed, 1000, HEAP_BYTES));
  }

  static void feed(EndpointListReader reader, byte[] text, int pieceBytes)
      throws EndpointListTooLongException {
    for (int from = 0; from < text.length; from += pieceBytes) {
      reader.feed(ByteBuffer.wrap(text, from, Math.min(pieceBytes, text.length - from)).slice());
    }
  }

  static void feed(EndpointListReader reader, String text) throws EndpointListTooLongException {
    feed(reader, text.getBytes(StandardCharsets.UTF_8), Integer.MAX_VALUE >> 1);
  }

  private EndpointListFixture() {}
}
