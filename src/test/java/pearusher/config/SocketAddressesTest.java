package pearusher.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SocketAddressesTest {
  @ParameterizedTest
  @ValueSource(
      strings = {
        "127.0.0.1",
        "localhost:80",
        "127.0.0.1:",
        "127.0.0.1:99999",
        "1.2.3:80",
        "300.0.0.1:80"
      })
  void textWithoutNumericAddressAndPortIsRejected(String text) {
    assertEquals(Optional.empty(), SocketAddresses.parse(text));
  }

  @ParameterizedTest
  @ValueSource(strings = {"127.0.0.1:80", "255.1.2.3:65535", "0.0.0.0:0"})
  void formattingAParsedAddressGivesTheOriginalText(String text) {
    assertEquals(Optional.of(text), SocketAddresses.parse(text).map(SocketAddresses::format));
  }

  @Test
  void ipv6AddressRequiresBrackets() {
    assertEquals(
        Optional.of(8080), SocketAddresses.parse("[::1]:8080").map(address -> address.getPort()));
    assertEquals(Optional.empty(), SocketAddresses.parse("::1:8080"));
  }
}
