package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Datagrams between assigners over sockets: listed peers, and the limit of 256 bytes. */
class PeerDatagramTest extends LoopbackFixture {
  @Test
  void datagramsAreExchangedWithListedPeersOnly() throws Exception {
    try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        DatagramSocket unlistedPeer = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      peer.setSoTimeout(20_000);
      example
          .with(
              "\"peers\": [\"127.0.0.1:0\"]",
              "\"peers\": [\"127.0.0.1:1\", \"127.0.0.1:" + peer.getLocalPort() + "\"]")
          .with("\"replicasOfMe\": 1", "\"replicasOfMe\": 2")
          .with("127.0.0.1:7947", "127.0.0.1:" + peer.getLocalPort());
      AssignerServer server = start();
      InetSocketAddress to = server.peers().address();
      unlistedPeer.send(new DatagramPacket(new byte[] {1}, 1, to));
      peer.send(new DatagramPacket(new byte[257], 257, to));
      TestPeers.awaitUntil("two dropped datagrams", () -> server.peers().droppedDatagrams() == 2);
      peer.send(new DatagramPacket(new byte[] {4, 5}, 2, to));
      policy.awaitEvent("onPeerMessage 1 [4, 5]");
      policy.command(
          commands -> {
            commands.sendToPeer(1, new byte[257]);
            commands.sendToPeer(7, new byte[1]);
            commands.sendToPeer(1, new byte[] {6});
            commands.sendToPeer(0xffffffffL, new byte[256]);
          });
      List<Integer> lengths = new ArrayList<>();
      for (int k = 0; k < 2; k++) {
        DatagramPacket received = new DatagramPacket(new byte[1000], 1000);
        peer.receive(received);
        lengths.add(received.getLength());
      }
      lengths.sort(null);
      assertEquals(List.of(1, 256), lengths);
      assertTrue(policy.events.stream().noneMatch(event -> event.startsWith("onPeerMessage")));
    }
  }
}
