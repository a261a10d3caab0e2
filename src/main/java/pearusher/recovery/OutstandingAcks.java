package pearusher.recovery;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The acknowledgements that were requested from proxies and have not arrived, with the iterations
 * that requested them. Owned by the ledger's thread. It grows with the proxies that are joined and
 * the acknowledgements that each owes, up to {@link #MAX_PER_PROXY}.
 */
final class OutstandingAcks {
  /** Above it the oldest request of a proxy is dropped. */
  private static final int MAX_PER_PROXY = 1000;

  private record AckRequest(int number, long iteration) {}

  private final Map<Integer, ArrayDeque<AckRequest>> requestsByProxy = new HashMap<>();

  /** An iteration requested an acknowledgement from a proxy. */
  void add(int proxy, int number, long iteration) {
    ArrayDeque<AckRequest> requests =
        requestsByProxy.computeIfAbsent(proxy, ignored -> new ArrayDeque<>());
    requests.add(new AckRequest(number, iteration));
    if (requests.size() > MAX_PER_PROXY) {
      requests.poll();
    }
  }

  /**
   * A proxy has acknowledged a request, and with it all before it.
   *
   * @return the iteration that requested it; empty where it was not requested from this proxy
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

  void forget(int proxy) {
    requestsByProxy.remove(proxy);
  }
}
