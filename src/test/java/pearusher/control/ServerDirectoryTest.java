package pearusher.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class ServerDirectoryTest {
  private final ServerDirectory servers = new ServerDirectory();

  @Test
  void aServerListedAgainKeepsItsNumberAndHasTheNewAddress() {
    long number = servers.add("s1", "10.0.0.1:80");
    assertEquals(number, servers.add("s1", "10.0.0.2:80"));
    assertEquals("10.0.0.2:80", servers.hostPort(number));
    assertEquals(OptionalLong.of(number), servers.number("s1"));
    assertEquals(1, servers.nameCount());
  }

  @Test
  void aDiscardedServerIsUnknownAndItsNumberIsNotReused() {
    long number = servers.add("s1", "10.0.0.1:80");
    servers.discard(number);
    assertFalse(servers.contains("s1"));
    assertEquals(OptionalLong.empty(), servers.number("s1"));
    assertEquals(Optional.empty(), servers.findName(number));
    assertNotEquals(number, servers.add("s1", "10.0.0.1:80"));
  }

  @Test
  void convertingAMapByNameToAMapByNumberOmitsUnknownServers() {
    long number = servers.add("s1", null);
    assertEquals(Map.of(number, 2), servers.byNumber(Map.of("s1", 2, "s2", 3)));
  }

  @Test
  void numbersOfKnownServersAreReplacedByNamesInLogMessages() {
    for (int index = 0; index <= 10; index++) {
      servers.add("name-" + index + "$1", null);
    }
    assertEquals(
        "server name-10$1 slower than server ff",
        servers.replaceNumbersByNames("server a slower than server ff"));
  }
}
