package pearusher.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;

/** Stream of a proxy that applies each update that it receives. */
final class ProxyClient extends RespClient {
  final AppliedUpdates applied;

  ProxyClient(InetSocketAddress to, AppliedUpdates applied) throws IOException {
    super(to);
    this.applied = applied;
    startReading();
  }

  @Override
  void onMessage(List<String> words) {
    applied.apply(words);
  }
}
