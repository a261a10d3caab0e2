package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Order in which {@link UpdatePublisher} publishes the decisions of one batch. */
class UpdateOrderTest {
  private static int firstIndexOf(List<RecordedCommand> commands, Class<?> kind) {
    for (int i = 0; i < commands.size(); i++) {
      if (kind.isInstance(commands.get(i))) {
        return i;
      }
    }
    throw new AssertionError("no " + kind.getSimpleName() + " command in " + commands);
  }

  @Test
  void ejectionsPrecedeAdmissionLevelsWhichPrecedeWeights() {
    PolicyFixture fixture = PolicyFixture.started(8, 4).runPeriods(5);
    fixture.failAll(0.3, 900);
    fixture.latencyMs.put(1L, 3000.0);
    fixture.advance(PolicyFixture.SECOND_US);
    fixture.deliverReports();
    fixture.commands.issued.clear();
    fixture.updateEndpoints(
        ListUpdateKind.DELTA, List.of(TestServers.serverIn(2, 0, Lifecycle.DRAINING)));
    List<RecordedCommand> issued = List.copyOf(fixture.commands.issued);
    int ejection = firstIndexOf(issued, RecordedCommand.Eject.class);
    int admission = firstIndexOf(issued, RecordedCommand.SetAdmission.class);
    int weight = firstIndexOf(issued, RecordedCommand.SetWeight.class);
    assertTrue(ejection < admission && admission < weight, issued.toString());
    assertEquals(
        issued.size() - 1,
        firstIndexOf(issued, RecordedCommand.RequestAck.class),
        "the last command requests the acknowledgement of the update");
  }
}
