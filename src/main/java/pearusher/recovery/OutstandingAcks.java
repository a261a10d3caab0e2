package pearusher.recovery;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The requested acknowledgements that have not arrived, with the iterations that requested them.
 * Owned by the ledger's thread. Memory grows with the joined proxies and the outstanding
 * acknowledgements of each, up to {@link #MAX_PER_PROXY}.
 */
final class OutstandingAcks {
  /** Maximum number of outstanding requests per proxy; above it the oldest request is dropped. */
  private static final int MAX_PER_PROXY = 1000;

  private record AckRequest(int number, long iteration) {}

  private final Map<Integer, ArrayDeque<AckRequest>> requestsByProxy = new HashMap<>();

  /** Adds a request for an acknowledgement, which an iteration sent to a proxy. */
  void add(int proxy, int number, long iteration) {
    ArrayDeque<AckRequest> requests =
        requestsByProxy.computeIfAbsent(proxy, ignored -> new ArrayDeque<>());
    requests.add(new AckRequest(number, iteration));
    if (requests.size() > MAX_PER_PROXY) {
      requests.poll();
    }
  }

  /**
   * Removes a request that a proxy has acknowledged, and all earlier requests to this proxy.
   *
   * @return the iteration that sent the request; empty if this proxy has no such request
   */
  OptionalLong acknowledge(int proxy, int number) {
    ArrayDeque<AckRequest> requests = requestsByProxy.get(proxy);
    if (requests == null || requests.stream().noneMatch(request -> request.number() == number)) {
      return OptionalLong.empty();
    }
    AckRequest last;
    do {
      last = requests.poll();
    } while (last.number() != number);
    return OptionalLong.of(last.iteration());
  }

  void removeProxy(int proxy) {
    requestsByProxy.remove(proxy);
  }
}
