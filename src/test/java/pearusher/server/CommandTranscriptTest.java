package pearusher.server;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import pearusher.Recorded;
import pearusher.policy.PolicyCommands;

/**
 * Compares the bytes of the updates for commands of every kind with recorded ones. This guards
 * against changes of the encoding, and of the set of proxies that receive an update.
 */
class CommandTranscriptTest extends TranscriptFixture {
  private static final int ALL_TABLES = 65_535;
  private static final int ALL_CLASSES = 0;

  /**
   * First of the acknowledgement numbers that mark the end of the updates of a step. They have four
   * digits, as {@link #record} expects.
   */
  private static final int FIRST_END_MARKER = 1001;

  private int nextEndMarker = FIRST_END_MARKER;
  private final Map<Integer, RawConnection> proxies = new LinkedHashMap<>();

  /** Joins a proxy, and waits until the policy has received the given number of events. */
  private void join(int proxy, boolean isFresh, int events) throws Exception {
    int before = policy.events.size();
    RawConnection stream = new RawConnection(address);
    stream.send(
        resp("joined proxy " + proxy + " zone north weight 2.5 fresh " + (isFresh ? 1 : 0)));
    TestPeers.awaitUntil("events of the join", () -> policy.events.size() == before + events);
    proxies.put(proxy, stream);
  }

  /**
   * Adds to the transcript the bytes that each proxy receives for these commands and for the
   * acknowledgement request that follows them.
   */
  private void record(String title, Consumer<PolicyCommands> issuer) throws Exception {
    issueInOneIteration(issuer);
    int number = nextEndMarker++;
    issueInOneIteration(commands -> commands.requestAck(number, true));
    transcript.append("== ").append(title).append('\n');
    for (Map.Entry<Integer, RawConnection> proxy : proxies.entrySet()) {
      String bytes = proxy.getValue().awaitEnd("$6\r\nticket\r\n$4\r\n" + number + "\r\n");
      transcript
          .append("proxy ")
          .append(proxy.getKey())
          .append('\n')
          .append(Recorded.lines(bytes))
          .append('\n');
    }
  }

  /**
   * Proxies 1 and 3 join without a table, proxies 2 and 4 with one. Proxies 3 and 4 are bound only
   * in later steps.
   */
  @Test
  void commandsOfEveryKindResultInTheRecordedBytes() throws Exception {
    server = start();
    for (int proxy = 1; proxy <= 4; proxy++) {
      join(proxy, proxy % 2 == 1, 1);
    }
    recordWeights();
    recordAdmissionLevels();
    recordEjectionsAndAcknowledgements();
    recordTables();
    recordRejoins();
    for (RawConnection proxy : proxies.values()) {
      proxy.close();
    }
    Recorded.check("orders-on-streams.txt", transcript.toString());
  }

  private void recordWeights() throws Exception {
    record(
        "lines, and a binding of all classes",
        commands -> {
          commands.setWeight(0, 0, 1.5);
          commands.setWeight(0, 1, 0.2);
          commands.bindProxy(1, 0, ALL_CLASSES);
        });
    record(
        "bindings of one class each",
        commands -> {
          commands.setWeight(1, 1, 0.25);
          commands.bindProxy(2, 0, 1);
          commands.bindProxy(2, 1, 2);
        });
    record("a weight that changes", commands -> commands.setWeight(0, 1, 0.75));
    record("a line that goes", commands -> commands.setWeight(0, 1, 0));
    record(
        "weights that are small and large",
        commands -> {
          commands.setWeight(0, 0, 1e6);
          commands.setWeight(0, 1, 0.00002);
        });
    record(
        "the same weights again",
        commands -> {
          commands.setWeight(0, 0, 1e6);
          commands.setWeight(0, 1, 0.00002);
        });
  }

  private void recordAdmissionLevels() throws Exception {
    record(
        "a level of a table for all classes",
        commands -> commands.setAdmission(0, ALL_CLASSES, 0.9, 1));
    record("a level of a table for one class", commands -> commands.setAdmission(0, 2, 0.5, 2));
    record(
        "levels that differ by class, and a line",
        commands -> {
          commands.setWeight(0, 0, 2);
          commands.setAdmission(0, 1, 0.25, 0);
          commands.setAdmission(0, 2, 0.125, 3);
        });
    record(
        "a level of all tables for all classes",
        commands -> commands.setAdmission(ALL_TABLES, ALL_CLASSES, 0.8, 0));
    record(
        "a level of all tables for one class",
        commands -> commands.setAdmission(ALL_TABLES, 2, 12.25, 3));
  }

  private void recordEjectionsAndAcknowledgements() throws Exception {
    record("a server withdrawn", commands -> commands.eject(0));
    record("a server that comes back", commands -> commands.reinstate(0));
    record(
        "a server withdrawn, and a mark for those concerned",
        commands -> {
          commands.eject(1);
          commands.requestAck(905, false);
        });
    record("a table bound late", commands -> commands.bindProxy(3, 0, ALL_CLASSES));
    record(
        "a line and a mark for those concerned",
        commands -> {
          commands.setWeight(1, 0, 3.5);
          commands.requestAck(906, false);
        });
    record(
        "a line and a mark for all",
        commands -> {
          commands.setWeight(1, 0, 4.5);
          commands.requestAck(907, true);
        });
    record("a mark alone for those concerned", commands -> commands.requestAck(908, false));
    record(
        "a mark that was taken back",
        commands -> {
          commands.requestAck(909, true);
          commands.requestAck(-1, true);
        });
  }

  private void recordTables() throws Exception {
    record(
        "a table cleared and filled again",
        commands -> {
          commands.clearTable(0);
          commands.setWeight(0, 0, 1);
        });
    record("a table cleared", commands -> commands.clearTable(1));
    record(
        "a server that is in doubt, and a table that brings it",
        commands -> {
          commands.reportStaleEjectionRisk(0, true);
          commands.setWeight(2, 0, 1);
          commands.setWeight(2, 1, 1);
          commands.bindProxy(4, 2, ALL_CLASSES);
        });
    record("another table bound", commands -> commands.bindProxy(1, 2, ALL_CLASSES));
    record("nothing", commands -> {});
  }

  private void recordRejoins() throws Exception {
    proxies.get(1).close();
    TestPeers.awaitUntil("the event of the closed stream", () -> policy.events.size() == 6);
    join(1, false, 1);
    record(
        "a table bound to a stream that joined again",
        commands -> commands.bindProxy(1, 0, ALL_CLASSES));
    join(2, false, 2);
    record(
        "a table bound to a stream that took the place of another",
        commands -> commands.bindProxy(2, 2, 1));
    join(3, true, 2);
    record(
        "a table bound to a proxy that no server in doubt concerns",
        commands -> commands.bindProxy(3, 2, ALL_CLASSES));
    join(3, true, 2);
    record(
        "a table with a server in doubt for all",
        commands -> {
          commands.reportStaleEjectionRisk(0, true);
          commands.bindProxy(3, 2, ALL_CLASSES);
        });
    join(3, true, 2);
    record(
        "a table with a server in doubt for those who are not sure",
        commands -> {
          commands.reportStaleEjectionRisk(0, false);
          commands.bindProxy(3, 2, ALL_CLASSES);
        });
    record(
        "a server with a line that is withdrawn in the same turn",
        commands -> {
          commands.setWeight(2, 0, 0.5);
          commands.eject(0);
        });
  }
}
