package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import pearusher.Recorded;
import pearusher.policy.PolicyCommands;

/** Compares the bytes of HTTP requests to discovery and to servers with recorded ones. */
class HttpRequestTranscriptTest extends TranscriptFixture {
  @Test
  void requestsToDiscoveryAndServersAreTheRecordedBytes() throws Exception {
    try (RequestListener catalog = new RequestListener();
        RequestListener backend = new RequestListener()) {
      example.discovery(catalog.address()).with("127.0.0.1:9001", backend.address());
      server = start();
      issueInOneIteration(commands -> commands.watchEndpoints(true));
      transcript.append("== watch\n").append(catalog.awaitRequest());
      Socket watch = catalog.nextConnection();
      String list =
          TestPeers.endpointListJson(
                  43,
                  true,
                  TestPeers.endpointJson("s-5be2a07c", backend.address(), "north", "in_service", 0))
              + "\n";
      watch
          .getOutputStream()
          .write(
              ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      + Integer.toHexString(list.length())
                      + "\r\n"
                      + list
                      + "\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      TestPeers.awaitUntil("the event of the endpoint list", () -> policy.events.size() == 2);
      issueInOneIteration(commands -> commands.watchEndpoints(true));
      transcript.append("== watch after a list\n").append(catalog.awaitRequest());
      issueInOneIteration(PolicyCommands::fetchEndpoints);
      transcript.append("== fetch\n").append(catalog.awaitRequest());
      issueInOneIteration(commands -> commands.checkHealth(0));
      transcript
          .append("== probe where servers report their load\n")
          .append(backend.awaitRequest());
    }
    Recorded.check("http-requests.txt", transcript.toString());
  }

  @Test
  void healthCheckWithoutLoadReportsSendsTheRecordedRequest() throws Exception {
    try (RequestListener backend = new RequestListener()) {
      example
          .with("\"source\": \"on_probe\"", "\"source\": \"off\"")
          .with("127.0.0.1:9002", backend.address());
      server = start();
      issueInOneIteration(commands -> commands.checkHealth(1));
      Recorded.check("http-request-without-load.txt", backend.awaitRequest());
    }
  }

  @Test
  void assignerWithPushedDiscoveryStartsAWatchAtItsStart() throws Exception {
    try (RequestListener catalog = new RequestListener()) {
      example
          .discovery(catalog.address())
          .with("\"discovery\": \"on_request\"", "\"discovery\": \"pushed\"");
      start();
      assertTrue(
          catalog
              .awaitRequest()
              .startsWith("GET /catalog/members?follow=1&since=41 HTTP/1.1\\r\\n\n"));
    }
  }
}
