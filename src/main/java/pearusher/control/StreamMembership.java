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
 * Maps each joined proxy to its stream, and passes joins, closed streams and acknowledgements to
 * the policy, the published tables and the persistence. Only the event-loop thread uses it. Its
 * size grows with the number of joined proxies.
 */
final class StreamMembership {
  private final EventLoop loop;
  private final ServerDirectory servers;
  private final PublishedTables tables;
  private final Persistence persistence;
  private final Supplier<AssignmentPolicy> policy;

  private final Map<Integer, ProxyStream> streams = new HashMap<>();
  private final RepeatedEvent droppedAcknowledgements = new RepeatedEvent();

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

  /** Returns the stream of a proxy, or null if the proxy is not joined. */
  ProxyStream stream(int proxy) {
    return streams.get(proxy);
  }

  int size() {
    return streams.size();
  }

  /**
   * Adds the stream of a joining proxy, unless a newer stream of the proxy exists. Joins may be
   * read in a different order than their connections were accepted: a proxy that is disconnected
   * right after it joined reconnects, and both connections may become readable at once. The older
   * stream must not replace the newer one.
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
        .ifPresent(catchUp -> resumeTable(proxy, catchUp));
  }

  /** Resumes the table that a joining proxy retains, except for the entries in the catch-up. */
  private void resumeTable(int proxy, CatchUp catchUp) {
    tables.setAnnounced(proxy, servers.byNumber(catchUp.notifiedEjections()));
    policy.get().onProxyTableReported(loop.nowUs(), proxy, catchUp.table(), catchUp.entryCount());
  }

  /** Removes a closed stream; ignored if a newer stream of the proxy has replaced it. */
  void onStreamClosed(ProxyStream stream, int proxy) {
    if (streams.remove(proxy, stream)) {
      tables.removeProxy(proxy);
      policy.get().onProxyLeft(loop.nowUs(), proxy);
      persistence.onProxyLeft(proxy);
    }
  }

  /**
   * Handles an acknowledgement of a proxy. Ignored if a newer stream has replaced this one; dropped
   * and counted if no matching request is pending.
   */
  void onAcknowledgement(ProxyStream stream, Message.Acknowledgement acknowledgement) {
    int proxy = acknowledgement.proxy();
    int number = acknowledgement.number();
    if (streams.get(proxy) != stream) {
      return;
    }
    if (!tables.acknowledge(loop.nowUs(), proxy, number, acknowledgement.tookUs())) {
      droppedAcknowledgements.record(count -> logDroppedAcknowledgement(count, acknowledgement));
      return;
    }
    persistence.onAcknowledgement(proxy, number);
    policy.get().onAcknowledgement(loop.nowUs(), proxy, number, acknowledgement.tookUs());
  }

  private static void logDroppedAcknowledgement(long count, Message.Acknowledgement last) {
    Logger.warn(
        "acknowledgements dropped: {} so far, the last of proxy {}:"
            + " no acknowledgement {} is pending that was requested {} us ago or earlier",
        count,
        last.proxy(),
        last.number(),
        last.tookUs());
  }
}
