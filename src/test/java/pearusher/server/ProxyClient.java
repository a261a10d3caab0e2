package pearusher.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;

/** A proxy's stream, which applies each update to what the proxy holds. */
final class ProxyClient extends RespClient {
  final AppliedUpdates held;

  ProxyClient(InetSocketAddress to, AppliedUpdates held) throws IOException {
    super(to);
    this.held = held;
    startReading();
  }

  @Override
  void onMessage(List<String> words) {
    held.apply(words);
  }
}
