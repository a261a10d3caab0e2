package pearusher.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pearusher.policy.PolicyCommands;
import pearusher.protocol.EndpointListLimits;
import pearusher.server.HttpStub;
import pearusher.server.LoopbackFixture;
import pearusher.server.StubRequest;
import pearusher.server.TestPeers;

/**
 * Endpoint lists over a limit, received on sockets. The call must fail with one log line and the
 * last valid list must stay in force. Guards against a list that exhausts the heap, and against the
 * loss of the servers already known.
 */
class EndpointListLimitsTest extends LoopbackFixture {
  private static final String TOO_LONG_WARNING =
      "WARN endpoint list rejected: over 4 servers: the heap of 40 MB holds no more";

  @BeforeEach
  void setLimits() {
    example.lists(new EndpointListLimits(4, 1000, 40 << 20));
  }

  private static String listWithServers(int generation, boolean complete, int first, int end) {
    return TestPeers.endpointListJson(
        generation,
        complete,
        IntStream.range(first, end)
            .mapToObj(
                k -> TestPeers.endpointJson("s-" + k, "127.0.0.1:9", "north", "in_service", 0))
            .toArray(String[]::new));
  }

  private long countLogged(String text) throws InterruptedException {
    awaitLog(text);
    synchronized (log) {
      return log.toString(StandardCharsets.UTF_8).lines().filter(l -> l.contains(text)).count();
    }
  }

  @Test
  void watchFailsOnListOverLimit() throws Exception {
    StubRequest watch = startWithWatch();
    policy.awaitEvent("onEndpointList CACHED");
    watch.startWatch();
    watch.writeLine(listWithServers(43, true, 0, 4));
    policy.awaitEvent("onEndpointList COMPLETE [ServerEntry[server=2,");
    for (int attempt = 1; attempt <= 3; attempt++) {
      // The list is rejected at its fifth server, although the line never ends.
      String text = listWithServers(50, true, 0, 5);
      watch.write("100000\r\n" + text.substring(0, text.length() - 2));
      policy.awaitEvent("onEndpointList FAILED []");
      policy.command(o -> o.watchEndpoints(true));
      watch = discovery.awaitRequest();
      assertEquals(
          "/catalog/members?follow=1&since=43", watch.path(), "the last valid list stays in force");
      watch.startWatch();
    }
    assertEquals(2, countLogged(TOO_LONG_WARNING), "logged at occurrences 1, 2, 4, 8 ...");
    awaitLog("WARN discovery lost: WATCH ended: TOO_LONG");
    watch.writeLine(listWithServers(51, true, 1, 4));
    policy.awaitEvent("onEndpointList COMPLETE [ServerEntry[server=3,");
    assertEquals(List.of(), policy.events);
  }

  @Test
  void fetchFailsOnListOverLimit() throws Exception {
    start();
    policy.awaitEvent("onEndpointList CACHED");
    policy.command(PolicyCommands::fetchEndpoints);
    discovery.awaitRequest().respond(200, listWithServers(45, true, 0, 5));
    policy.awaitEvent("onEndpointList FAILED []");
    assertEquals(1, countLogged(TOO_LONG_WARNING));
    awaitLog("WARN discovery lost: FETCH ended: TOO_LONG");
    assertFalse(log.toString(StandardCharsets.UTF_8).contains("unreadable"), "one line is logged");
    policy.command(PolicyCommands::fetchEndpoints);
    discovery.awaitRequest().respond(200, listWithServers(45, true, 0, 4));
    policy.awaitEvent("onEndpointList COMPLETE");
    assertEquals(List.of(), policy.events);
  }

  @Test
  void fetchFailsOnOverlongIdWithLogLine() throws Exception {
    start();
    policy.awaitEvent("onEndpointList CACHED");
    policy.command(PolicyCommands::fetchEndpoints);
    discovery
        .awaitRequest()
        .respond(200, listWithServers(45, true, 0, 1).replace("s-0", "x".repeat(256)));
    policy.awaitEvent("onEndpointList FAILED []");
    awaitLog(
        "WARN endpoint list rejected: list unreadable: list: the key instances.0.instanceId is"
            + " longer than 255 characters: 'xxx");
  }

  /** Each delta is short, but together they would make more servers known than the heap holds. */
  @Test
  void deltasThatAddServersBeyondLimitAreRejected() throws Exception {
    StubRequest watch = startWithWatch();
    policy.awaitEvent("onEndpointList CACHED");
    watch.startWatch();
    for (int k = 0; k < 4; k++) {
      watch.writeLine(listWithServers(43 + k, false, k, k + 1));
      policy.awaitEvent("onEndpointList DELTA [ServerEntry[server=" + (2 + k) + ",");
    }
    watch.writeLine(listWithServers(47, false, 3, 4));
    policy.awaitEvent("onEndpointList DELTA [ServerEntry[server=5,");
    watch.writeLine(listWithServers(48, false, 3, 5));
    policy.awaitEvent("onEndpointList FAILED []");
    assertEquals(
        1,
        countLogged(
            "WARN endpoint list rejected, counted with the known servers: over 6 servers: the "
                + "heap of 40 MB holds no more"));
    policy.command(o -> o.watchEndpoints(true));
    assertEquals("/catalog/members?follow=1&since=47", discovery.awaitRequest().path());
    assertEquals(List.of(), policy.events);
  }

  /**
   * Both entries of a repeated id reach the policy, which uses the last one. The health check also
   * uses the address of the last one.
   */
  @Test
  void lastEntryOfRepeatedServerIsUsed() throws Exception {
    try (HttpStub server = new HttpStub()) {
      StubRequest watch = startWithWatch();
      policy.awaitEvent("onEndpointList CACHED");
      watch.startWatch();
      watch.writeLine(
          TestPeers.endpointListJson(
              43,
              true,
              TestPeers.endpointJson("s-0badcafe", "127.0.0.1:1", "north", "terminating", 0),
              TestPeers.endpointJson("s-0badcafe", server.address(), "south", "in_service", 0)));
      policy.awaitEvent(
          "onEndpointList COMPLETE [ServerEntry[server=1, zone=0, machineType=0, cell=0,"
              + " lifecycle=DRAINING, weight=1.0, startedUs=0], ServerEntry[server=1, zone=1,"
              + " machineType=0, cell=0, lifecycle=READY, weight=1.0, startedUs=0]]");
      policy.command(o -> o.checkHealth(1));
      server.awaitRequest().respond(200, "TEXT util=0.5");
      policy.awaitEvent("onHealthCheckResult 1 OK");
    }
  }
}
