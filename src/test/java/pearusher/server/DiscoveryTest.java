package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pearusher.config.AssignerConfig;
import pearusher.config.AssignerConfigReader;
import pearusher.policy.PolicyCommands;

/** Watches and fetches of the endpoint list, and their failures. */
class DiscoveryTest extends LoopbackFixture {
  /**
   * A reload moves the watch to the new address immediately; events of the old watch are ignored.
   */
  @Test
  void reloadMovesTheWatch() throws Exception {
    StubRequest old = startWithWatch();
    policy.awaitEvent("onEndpointList CACHED");
    old.startWatch();
    old.writeLine(TestPeers.endpointListJson(43, false));
    policy.awaitEvent("onEndpointList DELTA []");
    ProxyClient proxy = joinProxy(3);
    try (HttpStub newDiscovery = new HttpStub()) {
      AssignerConfig first = example.read(directory);
      servers
          .get(0)
          .reload(
              AssignerConfigReader.reload(
                  first, example.discovery(newDiscovery.address()).write(directory)));
      StubRequest next = newDiscovery.awaitRequest();
      assertEquals("/catalog/members?follow=1&since=43", next.path());
      old.reset();
      next.startWatch();
      next.writeLine(
          TestPeers.endpointListJson(
              44,
              false,
              TestPeers.endpointJson("s-0badcafe", "127.0.0.1:9", "south", "terminating", 0)));
      policy.awaitEvent("onEndpointList DELTA [ServerEntry[server=1");
      proxy.send("usage proxy 3 class lookup tries 5 failed 0 span_ms 1000");
      policy.awaitEvent("onUsageReport 3");
      assertEquals(List.of(), policy.events);
      assertEquals(0, discovery.requests.size());
    }
  }

  @Test
  void linesOfAWatchReachThePolicy() throws Exception {
    StubRequest watch = startWithWatch();
    assertEquals("/catalog/members?follow=1&since=41", watch.path());
    policy.awaitEvent("onEndpointList CACHED");
    watch.startWatch();
    watch.writeLine(
        TestPeers.endpointListJson(
            43,
            false,
            TestPeers.endpointJson("s-0badcafe", "127.0.0.1:9", "south", "terminating", 0),
            TestPeers.endpointJson(
                "s-new", "127.0.0.1:10", "north", "in_service", 9_999_999_999_999L)));
    policy.awaitEvent(
        "onEndpointList DELTA [ServerEntry[server=1, zone=1, machineType=0, cell=0,"
            + " lifecycle=DRAINING, weight=1.0, startedUs=0], ServerEntry[server=2, zone=0,"
            + " machineType=0, cell=0, lifecycle=READY, weight=1.0, startedUs=9999999999999000]]");
    watch.writeLine("");
    watch.writeLine(
        TestPeers.endpointListJson(
            42,
            false,
            TestPeers.endpointJson("s-0badcafe", "127.0.0.1:9", "south", "in_service", 0)));
    policy.awaitEvent("onEndpointList DELTA []");
    String text =
        TestPeers.endpointListJson(
            44, true, TestPeers.endpointJson("s-new", "127.0.0.1:10", "north", "in_service", 0));
    String chunk = Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n";
    for (int position = 0; position < chunk.length(); position++) {
      watch.write(chunk.substring(position, position + 1));
    }
    policy.awaitEvent("onEndpointList COMPLETE [ServerEntry[server=2,");
    assertEquals(List.of(), policy.events);
  }

  @Test
  void pushedListIsWatchedWithoutACommand() throws Exception {
    example.with("\"discovery\": \"on_request\"", "\"discovery\": \"pushed\"");
    start();
    StubRequest watch = discovery.awaitRequest();
    watch.startWatch();
    watch.writeLine(TestPeers.endpointListJson(43, false));
    policy.awaitEvent("onEndpointList DELTA []");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"503", "404", "reset", "close", "hang", "silent", "end", "garbage", "json", "cut"})
  void failedWatchIsReportedOnceAndCanBeRestarted(String failure) throws Exception {
    example
        .with("\"answer_ms\": 3000", "\"answer_ms\": 200")
        .with("\"connect_ms\": 1000", "\"connect_ms\": 100")
        .with("\"silent_ms\": 5000", "\"silent_ms\": 300");
    StubRequest watch = startWithWatch();
    policy.awaitEvent("onEndpointList CACHED");
    switch (failure) {
      case "503" -> watch.respond(503, "busy");
      case "404" -> watch.respond(404, "");
      case "reset" -> watch.reset();
      case "close" -> watch.socket().close();
      case "garbage" -> watch.write("what is this\r\n\r\n");
      case "silent" -> {
        watch.startWatch();
        watch.writeLine(TestPeers.endpointListJson(43, false));
        policy.awaitEvent("onEndpointList DELTA []");
      }
      case "end" -> {
        watch.startWatch();
        watch.write("0\r\n\r\n");
      }
      case "json" -> {
        watch.startWatch();
        watch.writeLine("{\"generation\":43}");
      }
      case "cut" -> {
        watch.startWatch();
        watch.write("40\r\n{\"generation\"");
        watch.socket().close();
      }
      default -> {}
    }
    policy.awaitEvent("onEndpointList FAILED []");
    assertEquals(List.of(), policy.events);
    policy.command(commands -> commands.watchEndpoints(true));
    StubRequest nextWatch = discovery.awaitRequest();
    nextWatch.startWatch();
    nextWatch.writeLine(TestPeers.endpointListJson(50, false));
    policy.awaitEvent("onEndpointList DELTA []");
    assertEquals(List.of(), policy.events);
  }

  @Test
  void unreachableDiscoveryFails() throws Exception {
    discovery.close();
    start();
    policy.command(commands -> commands.watchEndpoints(true));
    policy.awaitEvent("onEndpointList FAILED []");
    policy.command(PolicyCommands::fetchEndpoints);
    policy.awaitEvent("onEndpointList FAILED []");
  }

  @Test
  void completeListIsFetched() throws Exception {
    start();
    policy.awaitEvent("onEndpointList CACHED");
    policy.command(PolicyCommands::fetchEndpoints);
    StubRequest request = discovery.awaitRequest();
    assertEquals("/catalog/members", request.path());
    request.respond(
        200,
        TestPeers.endpointListJson(
            45,
            true,
            TestPeers.endpointJson("s-0badcafe", "127.0.0.1:9", "south", "in_service", 0)));
    policy.awaitEvent("onEndpointList COMPLETE [ServerEntry[server=1,");
    policy.command(PolicyCommands::fetchEndpoints);
    discovery.awaitRequest().respond(200, "{");
    policy.awaitEvent("onEndpointList FAILED");
    policy.command(PolicyCommands::fetchEndpoints);
    discovery.awaitRequest().respond(503, "");
    policy.awaitEvent("onEndpointList FAILED");
    policy.command(commands -> commands.watchEndpoints(true));
    assertEquals("/catalog/members?follow=1&since=45", discovery.awaitRequest().path());
    policy.command(commands -> commands.watchEndpoints(false));
    policy.command(PolicyCommands::fetchEndpoints);
    discovery.awaitRequest().respond(200, TestPeers.endpointListJson(46, true));
    policy.awaitEvent("onEndpointList COMPLETE []");
    assertEquals(List.of(), policy.events);
  }
}
