package pearusher.control;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.tinylog.Logger;
import pearusher.logging.RepeatedEvent;
import pearusher.policy.AssignmentPolicy;
import pearusher.protocol.Message;
import pearusher.publish.PublishedTables;
import pearusher.recovery.CatchUp;

/**
 * Tracks which stream belongs to which proxy, and passes joins, ends of streams and
 * acknowledgements on to the policy, the published tables and the persistence. Only the event-loop
 * thread uses it. It grows with the proxies that are joined here.
 */
final class StreamMembership {
  private final EventLoop loop;
  private final ServerDirectory servers;
  private final PublishedTables tables;
  private final Persistence persistence;
  private final Supplier<AssignmentPolicy> policy;

  private final Map<Integer, ProxyStream> streams = new HashMap<>();
  private final RepeatedEvent impossibleAcknowledgements = new RepeatedEvent();

  StreamMembership(
      EventLoop loop,
      ServerDirectory servers,
      PublishedTables tables,
      Persistence persistence,
      Supplier<AssignmentPolicy> policy) {
    this.loop = loop;
    this.servers = servers;
    this.tables = tables;
    this.persistence = persistence;
    this.policy = policy;
  }

  /** Returns the stream of a proxy that is joined. */
  ProxyStream stream(int proxy) {
    return streams.get(proxy);
  }

  int size() {
    return streams.size();
  }

  /**
   * A stream identified its proxy. Joins may be read in another order than their connections were
   * accepted: a proxy that was cut off right after it joined reconnects, and both connections may
   * be read at once. The older one must not replace the newer one.
   */
  void onProxyJoined(ProxyStream stream, Message.ProxyJoin join) {
    int proxy = join.proxy();
    ProxyStream previous = streams.get(proxy);
    if (previous != null && previous.acceptOrder() > stream.acceptOrder()) {
      stream.onReplaced();
      return;
    }
    streams.put(proxy, stream);
    if (previous != null) {
      policy.get().onProxyLeft(loop.nowUs(), proxy);
      previous.onReplaced();
    }
    tables.addProxy(proxy);
    policy
        .get()
        .onProxyJoined(loop.nowUs(), proxy, join.zone(), join.requestsPerSecond(), join.fresh());
    persistence
        .onProxyJoined(proxy, join.fresh())
        .ifPresent(lacking -> onTableHeld(proxy, lacking));
  }

  /** A joining proxy holds a table that an earlier process sent, all but what it lacks. */
  private void onTableHeld(int proxy, CatchUp lacking) {
    tables.setAnnounced(proxy, servers.byNumber(lacking.announced()));
    policy.get().onTableHeld(loop.nowUs(), proxy, lacking.table(), lacking.cost());
  }

  /** A stream ended; ignored if a newer stream of the proxy took its place. */
  void onStreamClosed(ProxyStream stream, int proxy) {
    if (streams.remove(proxy, stream)) {
      tables.removeProxy(proxy);
      policy.get().onProxyLeft(loop.nowUs(), proxy);
      persistence.onProxyLeft(proxy);
    }
  }

  /**
   * A proxy acknowledged an update; ignored if the request went to another stream, or if the
   * acknowledgement is impossible.
   */
  void onAcknowledgement(ProxyStream stream, Message.Acknowledgement acknowledgement) {
    int proxy = acknowledgement.proxy();
    int number = acknowledgement.number();
    if (streams.get(proxy) != stream) {
      return;
    }
    if (!tables.acknowledge(loop.nowUs(), proxy, number, acknowledgement.tookUs())) {
      impossibleAcknowledgements.record(count -> logDropped(count, acknowledgement));
      return;
    }
    persistence.onAcknowledgement(proxy, number);
    policy.get().onAcknowledgement(loop.nowUs(), proxy, number, acknowledgement.tookUs());
  }

  private static void logDropped(long count, Message.Acknowledgement last) {
    Logger.warn(
        "acknowledgements dropped: {} so far, the last of proxy {}: no request {} is {} us old",
        count,
        last.proxy(),
        last.number(),
        last.tookUs());
  }
}
