package pearusher.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pearusher.policy.AdmissionLevel;
import pearusher.server.TestPeers;

/** Encoding of updates for proxies. */
class MessageEncoderTest {
  @Test
  void updateIsEncodedAsOneArrayPerPart() {
    Map<String, Double> weights = new LinkedHashMap<>();
    weights.put("s-5be2a07c", 1.5);
    weights.put("s-0badcafe", 0.00002);
    byte[] actual =
        MessageEncoder.encodeUpdate(
            List.of(
                new UpdatePart(
                    Optional.of(List.of("lookup", "order")),
                    true,
                    weights,
                    Optional.of(new AdmissionLevel(0.9, 1)),
                    List.of(),
                    List.of(),
                    OptionalInt.empty()),
                new UpdatePart(
                    Optional.empty(),
                    false,
                    Map.of(),
                    Optional.empty(),
                    List.of("s-1", "s-2"),
                    List.of("s-3"),
                    OptionalInt.of(905))));
    byte[] first =
        TestPeers.encodeMessage(
            "update",
            "classes",
            "lookup+order",
            "whole",
            "1",
            "lines",
            "s-5be2a07c:1.5,s-0badcafe:0.000020",
            "level",
            "0.9",
            "retry",
            "1",
            "more",
            "1");
    byte[] second =
        TestPeers.encodeMessage("update", "out", "s-1,s-2", "back", "s-3", "ticket", "905");
    assertEquals(
        new String(first, StandardCharsets.UTF_8) + new String(second, StandardCharsets.UTF_8),
        new String(actual, StandardCharsets.UTF_8));
  }

  /**
   * Some proxies cannot parse exponents. The value 0 matters since a weight of zero removes a
   * server from the table.
   */
  @ParameterizedTest
  @CsvSource({"0,0.0", "1e6,1000000.0", "1e-7,0.00000010", "0.1,0.1", "123456789,123456792"})
  void numbersAreFormattedWithoutExponent(double value, String expected) {
    assertEquals(expected, MessageEncoder.formatDecimal(value));
  }
}
