package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pearusher.protocol.EndpointList;

/** Outcomes of health checks of servers, and the load that their responses report. */
class HealthCheckTest extends LoopbackFixture {
  @ParameterizedTest
  @CsvSource({
    "200,OK",
    "503,REJECTED",
    "500,ERROR",
    "404,ERROR",
    "hang,TIMED_OUT",
    "reset,DISCONNECTED",
    "close,DISCONNECTED",
    "cut,DISCONNECTED",
    "garbage,DISCONNECTED",
    "long,DISCONNECTED",
    "refused,UNREACHABLE",
    "nowhere,UNREACHABLE",
    "full,UNREACHABLE"
  })
  void healthCheckHasExactlyOneOutcome(String response, String outcome) throws Exception {
    example
        .with("\"answer_ms\": 3000", "\"answer_ms\": 200")
        .with("\"connect_ms\": 1000", "\"connect_ms\": 100");
    try (HttpStub serverStub = new HttpStub();
        FullAcceptQueue fullQueue = new FullAcceptQueue()) {
      if (response.equals("refused")) {
        serverStub.refuseConnections();
      }
      start();
      policy.awaitEvent("onEndpointList CACHED");
      moveServer(
          switch (response) {
            case "nowhere" -> "task.example:80";
            case "full" -> fullQueue.address();
            default -> serverStub.address();
          });
      policy.awaitEvent("onEndpointList DELTA");
      policy.command(commands -> commands.checkHealth(0));
      if (!List.of("refused", "nowhere", "full").contains(response)) {
        StubRequest request = serverStub.awaitRequest();
        assertEquals("/_load", request.path());
        respond(request, response);
      }
      policy.awaitEvent("onHealthCheckResult 0 " + outcome);
      policy.command(commands -> commands.checkHealth(1));
      policy.awaitEvent("onHealthCheckResult 1 UNREACHABLE");
      assertEquals(List.of(), policy.events, "one outcome for each health check");
    }
  }

  /** Changes the address of the first server by a delta of the endpoint list. */
  private void moveServer(String address) throws Exception {
    String entry = TestPeers.endpointJson("s-5be2a07c", address, "north", "in_service", 0);
    EndpointList list =
        TestPeers.readEndpointList(
            TestPeers.endpointListJson(60, false, entry), example.read(directory).names());
    servers.get(0).controller().onEndpointList(list, false);
  }

  private static void respond(StubRequest request, String response) throws IOException {
    switch (response) {
      case "200" -> request.respond(200, "TEXT inflight=7, queue=2, util=0.61");
      case "503", "500", "404" -> request.respond(Integer.parseInt(response), "");
      case "reset" -> request.reset();
      case "close" -> request.socket().close();
      case "cut" -> {
        request.write("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nTEXT infl");
        request.socket().close();
      }
      case "garbage" -> request.write("\u0001\u0002 nonsense\r\n\r\n");
      case "long" -> request.respond(200, "x".repeat(100_000));
      default -> {}
    }
  }

  /** Server socket with a full accept queue: connections to it are never established. */
  private static final class FullAcceptQueue implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<SocketChannel> queue = new ArrayList<>();

    FullAcceptQueue() throws IOException {
      for (int k = 0; k < 4; k++) {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.connect(server.getLocalSocketAddress());
        queue.add(channel);
      }
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
      server.close();
      for (SocketChannel channel : queue) {
        channel.close();
      }
    }
  }

  @Test
  void loadMetricsOfAHealthCheckAreInTheOrderOfTheSettings() throws Exception {
    HttpStub serverStub = new HttpStub();
    example.with("127.0.0.1:9001", serverStub.address());
    start();
    policy.command(commands -> commands.checkHealth(0));
    serverStub.awaitRequest().respond(200, "TEXT inflight=7, queue=2, util=0.61");
    TestPeers.awaitUntil(
        "the event with the load metrics",
        () ->
            policy.events.stream()
                .anyMatch(
                    event ->
                        event.startsWith("onHealthCheckResult 0 OK")
                            && event.endsWith("[0.61, 7.0]")));
    serverStub.close();
  }
}
