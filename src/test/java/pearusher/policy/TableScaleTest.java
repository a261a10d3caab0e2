package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Scale between the planned shares and the published weights of a table. */
class TableScaleTest {
  private final ZoneTable table = new ZoneTable(1, 1, 0);
  private final List<Server> servers = new ArrayList<>();

  private Server add(double plannedShare, double publishedWeight) {
    Server server = new Server(servers.size() + 1, 0);
    server.slowStartFactor = 1;
    servers.add(server);
    table.plannedShares.put(server.id, plannedShare);
    table.publishedWeights.put(server.id, publishedWeight);
    return server;
  }

  @Test
  void newTableHasScaleOne() {
    assertEquals(1, TableScale.of(table, servers));
  }

  @Test
  void scaleKeepsPublishedWeightsOfMostServersPastSlowStart() {
    add(0.25, 0.5);
    add(0.25, 0.5);
    add(0.25, 1.5);
    add(0.1, 9).slowStartFactor = 0.5;
    assertEquals(2, TableScale.of(table, servers));
  }

  @Test
  void serverOnlyPlannedOrOnlyPublishedIsIgnored() {
    Server planned = add(0.5, 1);
    table.publishedWeights.remove(planned.id);
    Server published = add(0.5, 3);
    table.plannedShares.remove(published.id);
    assertEquals(1, TableScale.of(table, servers));
  }

  @Test
  void scaleFarFromOneReturnsInStepsBelowTheHysteresis() {
    add(0.5, 100);
    assertEquals(190, TableScale.of(table, servers), 1e-9);
    table.publishedWeights.replaceAll((id, weight) -> weight / 100_000);
    assertEquals(0.002 / 0.95, TableScale.of(table, servers), 1e-12);
  }
}
