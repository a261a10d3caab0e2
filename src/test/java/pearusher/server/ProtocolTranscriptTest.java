package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import pearusher.Recorded;

/**
 * Compares the decoding of recorded client bytes, and the responses to pings, with recorded ones.
 */
class ProtocolTranscriptTest extends TranscriptFixture {
  /**
   * Sends bytes in two halves. Adds them to the transcript, followed by the parameters of the
   * events that the policy receives, without the names of the events.
   */
  private void send(RawConnection connection, String bytes, int events) throws Exception {
    int before = policy.events.size();
    int half = bytes.length() / 2;
    connection.send(bytes.substring(0, half));
    connection.send(bytes.substring(half));
    TestPeers.awaitUntil(events + " events", () -> policy.events.size() == before + events);
    transcript.append(Recorded.lines(bytes)).append('\n');
    for (String event : policy.events.subList(before, before + events)) {
      transcript.append("=> ").append(event.substring(event.indexOf(' ') + 1)).append('\n');
    }
  }

  @Test
  void messagesOfEveryKindAreDecodedToTheRecordedValues() throws Exception {
    server = start();
    TestPeers.awaitUntil("the event of the first endpoint list", () -> policy.events.size() == 1);
    try (RawConnection proxy = new RawConnection(address);
        RawConnection collector = new RawConnection(address)) {
      send(
          proxy,
          "*9\r\n$6\r\njoined\r\n$5\r\nproxy\r\n$1\r\n3\r\n$4\r\nzone\r\n$5\r\nsouth\r\n"
              + "$6\r\nweight\r\n$4\r\n21.5\r\n$5\r\nfresh\r\n$1\r\n1\r\n",
          1);
      send(
          proxy,
          "*11\r\n$5\r\nusage\r\n$5\r\nproxy\r\n$1\r\n3\r\n$5\r\nclass\r\n$5\r\norder\r\n"
              + "$5\r\ntries\r\n$2\r\n19\r\n$6\r\nfailed\r\n$1\r\n2\r\n"
              + "$7\r\nspan_ms\r\n$6\r\n1000.0\r\n",
          1);
      issueInOneIteration(commands -> commands.requestAck(905, true));
      proxy.awaitEnd("$3\r\n905\r\n");
      send(
          proxy,
          "*7\r\n$7\r\napplied\r\n$5\r\nproxy\r\n$1\r\n3\r\n$4\r\nmark\r\n$3\r\n905\r\n"
              + "$7\r\ntook_ms\r\n$3\r\n0.4\r\n",
          1);
      send(collector, "*3\r\n$9\r\ncollector\r\n$4\r\nzone\r\n$5\r\nsouth\r\n", 0);
      send(
          collector,
          "*15\r\n$5\r\nheard\r\n$4\r\nzone\r\n$5\r\nsouth\r\n$6\r\nserver\r\n"
              + "$10\r\ns-0badcafe\r\n$5\r\ntries\r\n$3\r\n212\r\n$6\r\nfailed\r\n$1\r\n3\r\n"
              + "$7\r\nmean_ms\r\n$4\r\n41.7\r\n$7\r\nspan_ms\r\n$6\r\n1000.0\r\n$4\r\nload\r\n"
              + "$20\r\ninflight:7,util:0.61\r\n",
          1);
      send(
          collector,
          "*11\r\n$5\r\nusage\r\n$5\r\nproxy\r\n$1\r\n3\r\n$5\r\nclass\r\n$6\r\nlookup\r\n"
              + "$5\r\ntries\r\n$1\r\n1\r\n$6\r\nfailed\r\n$1\r\n0\r\n"
              + "$7\r\nspan_ms\r\n$3\r\n500\r\n",
          1);
      assertEquals("", collector.text(), "bytes sent to a collector");
    }
    Recorded.check("client-messages.txt", transcript.toString());
  }

  @Test
  void eachPingIsAnsweredByAPongOnEveryKindOfConnection() throws Exception {
    server = start();
    TestPeers.awaitUntil("the event of the first endpoint list", () -> policy.events.size() == 1);
    String ping = "*1\r\n$4\r\nping\r\n";
    String pong = "*1\r\n$4\r\npong\r\n";
    try (RawConnection unidentified = new RawConnection(address);
        RawConnection collector = new RawConnection(address);
        RawConnection proxy = new RawConnection(address)) {
      unidentified.send(ping);
      assertEquals(pong, unidentified.awaitEnd(pong));
      unidentified.send(ping + ping + ping);
      assertEquals(pong + pong + pong, unidentified.awaitEnd(pong + pong + pong));
      collector.send(resp("collector zone north") + ping);
      assertEquals(pong, collector.awaitEnd(pong));
      proxy.send(resp("joined proxy 3 zone north weight 2.5 fresh 1") + ping);
      assertEquals(pong, proxy.awaitEnd(pong));
    }
  }
}
