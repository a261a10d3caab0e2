package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pearusher.config.AssignerConfig;
import pearusher.config.AssignerConfigReader;
import pearusher.policy.PolicyCommands;

/** The endpoint list: watches and fetches, and how they fail. */
class DiscoveryTest extends LoopbackFixture {
  /** The watch is at the new address at once, and events of the old one are ignored. */
  @Test
  void reloadMovesTheWatch() throws Exception {
    StubRequest old = startWithWatch();
    module.hear("onEndpointList CACHED");
    old.startWatch();
    old.writeLine(TestPeers.listing(43, false));
    module.hear("onEndpointList DELTA []");
    ProxyClient proxy = joinProxy(3);
    try (HttpStub elsewhere = new HttpStub()) {
      AssignerConfig first = example.read(directory);
      servers
          .get(0)
          .reload(
              AssignerConfigReader.reload(
                  first, example.discovery(elsewhere.address()).write(directory)));
      StubRequest next = elsewhere.awaitRequest();
      assertEquals("/catalog/members?follow=1&since=43", next.path());
      old.reset();
      next.startWatch();
      next.writeLine(
          TestPeers.listing(
              44,
              false,
              TestPeers.instance("s-0badcafe", "127.0.0.1:9", "south", "terminating", 0)));
      module.hear("onEndpointList DELTA [ServerEntry[server=1");
      proxy.send("usage proxy 3 class lookup tries 5 failed 0 span_ms 1000");
      module.hear("onUsageReport 3");
      assertEquals(List.of(), module.told);
      assertEquals(0, discovery.requests.size());
    }
  }

  @Test
  void linesOfAWatchReachThePolicy() throws Exception {
    StubRequest watch = startWithWatch();
    assertEquals("/catalog/members?follow=1&since=41", watch.path());
    module.hear("onEndpointList CACHED");
    watch.startWatch();
    watch.writeLine(
        TestPeers.listing(
            43,
            false,
            TestPeers.instance("s-0badcafe", "127.0.0.1:9", "south", "terminating", 0),
            TestPeers.instance(
                "s-new", "127.0.0.1:10", "north", "in_service", 9_999_999_999_999L)));
    module.hear(
        "onEndpointList DELTA [ServerEntry[server=1, zone=1, machineType=0, cell=0,"
            + " lifecycle=DRAINING, weight=1.0, startedUs=0], ServerEntry[server=2, zone=0,"
            + " machineType=0, cell=0, lifecycle=READY, weight=1.0, startedUs=9999999999999000]]");
    watch.writeLine("");
    watch.writeLine(
        TestPeers.listing(
            42, false, TestPeers.instance("s-0badcafe", "127.0.0.1:9", "south", "in_service", 0)));
    module.hear("onEndpointList DELTA []");
    String text =
        TestPeers.listing(
            44, true, TestPeers.instance("s-new", "127.0.0.1:10", "north", "in_service", 0));
    String chunk = Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n";
    for (int at = 0; at < chunk.length(); at++) {
      watch.write(chunk.substring(at, at + 1));
    }
    module.hear("onEndpointList COMPLETE [ServerEntry[server=2,");
    assertEquals(List.of(), module.told);
  }

  @Test
  void pushedListIsWatchedWithoutACommand() throws Exception {
    example.with("\"discovery\": \"on_request\"", "\"discovery\": \"pushed\"");
    start();
    StubRequest watch = discovery.awaitRequest();
    watch.startWatch();
    watch.writeLine(TestPeers.listing(43, false));
    module.hear("onEndpointList DELTA []");
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
    module.hear("onEndpointList CACHED");
    switch (failure) {
      case "503" -> watch.respond(503, "busy");
      case "404" -> watch.respond(404, "");
      case "reset" -> watch.reset();
      case "close" -> watch.socket().close();
      case "garbage" -> watch.write("what is this\r\n\r\n");
      case "silent" -> {
        watch.startWatch();
        watch.writeLine(TestPeers.listing(43, false));
        module.hear("onEndpointList DELTA []");
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
    module.hear("onEndpointList FAILED []");
    assertEquals(List.of(), module.told);
    module.order(commands -> commands.watchEndpoints(true));
    StubRequest nextWatch = discovery.awaitRequest();
    nextWatch.startWatch();
    nextWatch.writeLine(TestPeers.listing(50, false));
    module.hear("onEndpointList DELTA []");
    assertEquals(List.of(), module.told);
  }

  @Test
  void unreachableDiscoveryFails() throws Exception {
    discovery.close();
    start();
    module.order(commands -> commands.watchEndpoints(true));
    module.hear("onEndpointList FAILED []");
    module.order(PolicyCommands::fetchEndpoints);
    module.hear("onEndpointList FAILED []");
  }

  @Test
  void completeListIsFetched() throws Exception {
    start();
    module.hear("onEndpointList CACHED");
    module.order(PolicyCommands::fetchEndpoints);
    StubRequest call = discovery.awaitRequest();
    assertEquals("/catalog/members", call.path());
    call.respond(
        200,
        TestPeers.listing(
            45, true, TestPeers.instance("s-0badcafe", "127.0.0.1:9", "south", "in_service", 0)));
    module.hear("onEndpointList COMPLETE [ServerEntry[server=1,");
    module.order(PolicyCommands::fetchEndpoints);
    discovery.awaitRequest().respond(200, "{");
    module.hear("onEndpointList FAILED");
    module.order(PolicyCommands::fetchEndpoints);
    discovery.awaitRequest().respond(503, "");
    module.hear("onEndpointList FAILED");
    module.order(commands -> commands.watchEndpoints(true));
    assertEquals("/catalog/members?follow=1&since=45", discovery.awaitRequest().path());
    module.order(commands -> commands.watchEndpoints(false));
    module.order(PolicyCommands::fetchEndpoints);
    discovery.awaitRequest().respond(200, TestPeers.listing(46, true));
    module.hear("onEndpointList COMPLETE []");
    assertEquals(List.of(), module.told);
  }
}
