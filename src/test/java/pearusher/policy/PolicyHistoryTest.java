package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Characterization test of the policy: seeded histories of events must produce exactly the recorded
 * commands.
 *
 * <p>The file policy-histories.txt contains one line per history: its name, the digest of all
 * commands and the digest of the log texts. A change that preserves the behaviour changes none of
 * them. If a change of behaviour is intended, the failure message contains the new line.
 */
class PolicyHistoryTest {
  private static final String RECORDED_HISTORIES = "/policy-histories.txt";

  static List<PolicyScenario> scenarios() {
    return PolicyScenario.all();
  }

  private static Map<String, String> recorded() throws IOException {
    Map<String, String> lines = new TreeMap<>();
    try (InputStream in = PolicyHistoryTest.class.getResourceAsStream(RECORDED_HISTORIES)) {
      assertNotNull(in, RECORDED_HISTORIES);
      new String(in.readAllBytes(), StandardCharsets.UTF_8)
          .lines()
          .forEach(line -> lines.put(line.split(" ")[0], line));
    }
    return lines;
  }

  private static String line(PolicyScenario scenario) {
    PolicyHistory history = scenario.play();
    return scenario.name()
        + " "
        + history.commands.commandsDigestHex()
        + " "
        + history.commands.logTextsDigestHex();
  }

  @ParameterizedTest
  @MethodSource("scenarios")
  void historyProducesTheRecordedCommands(PolicyScenario scenario) throws IOException {
    assertEquals(
        recorded().get(scenario.name()),
        line(scenario),
        "the commands of this history changed; new line of " + RECORDED_HISTORIES);
  }

  @Test
  void everyRecordedHistoryIsPlayed() throws IOException {
    assertEquals(
        recorded().keySet().stream().toList(),
        scenarios().stream().map(PolicyScenario::name).sorted().toList());
  }
}
