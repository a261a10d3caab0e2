package pearusher.control;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import org.tinylog.Logger;
import pearusher.policy.AssignmentPolicy;
import pearusher.protocol.Message;
import pearusher.publish.PublishedTables;
import pearusher.recovery.CatchUp;

/**
 * Which stream speaks for which proxy: joinings, ends and answers to marks, told to the module, the
 * tables and the store. Only the decision thread uses it. It grows with the proxies that are joined
 * here.
 */
final class StreamMembership {
  private final EventLoop loop;
  private final PublishedTables tables;

  /** What lasts, where the operators switched it on; else null. */
  private final DurablePublisher durable;

  private final Supplier<AssignmentPolicy> module;

  /** The same map by the numbers of the servers that are still listed. */
  private final Function<Map<String, Boolean>, Map<Long, Boolean>> numbers;

  private final Map<Integer, ProxyStream> streams = new HashMap<>();

  /** Answers to marks that could not be. */
  private long impossibleAnswers;

  StreamMembership(
      EventLoop loop,
      PublishedTables tables,
      DurablePublisher durable,
      Supplier<AssignmentPolicy> module,
      Function<Map<String, Boolean>, Map<Long, Boolean>> numbers) {
    this.loop = loop;
    this.tables = tables;
    this.durable = durable;
    this.module = module;
    this.numbers = numbers;
  }

  /** The stream of a proxy that is joined. */
  ProxyStream stream(int proxy) {
    return streams.get(proxy);
  }

  int size() {
    return streams.size();
  }

  /**
   * Guards against joinings that are read in another order than they came: a proxy that was cut off
   * right after it joined dials again, and both connections may be read at once. The dead one would
   * take the place of the good one, and its end would unseat the proxy.
   */
  void onProxyJoined(ProxyStream stream, Message.ProxyJoin what) {
    ProxyStream old = streams.get(what.proxy());
    if (old != null && old.acceptOrder() > stream.acceptOrder()) {
      stream.onReplaced();
      return;
    }
    streams.put(what.proxy(), stream);
    if (old != null) {
      module.get().onProxyLeft(loop.nowUs(), what.proxy());
      old.onReplaced();
    }
    tables.addProxy(what.proxy());
    module
        .get()
        .onProxyJoined(
            loop.nowUs(), what.proxy(), what.zone(), what.requestsPerSecond(), what.fresh());
    CatchUp lacks =
        durable == null ? null : durable.joined(what.proxy(), what.fresh()).orElse(null);
    if (lacks != null) {
      tables.setAnnounced(what.proxy(), numbers.apply(lacks.announced()));
      module.get().onTableHeld(loop.nowUs(), what.proxy(), lacks.table(), lacks.cost());
    }
  }

  /** A stream ended; one whose proxy has joined anew since then unseats nobody. */
  void onStreamClosed(ProxyStream stream, int proxy) {
    if (streams.remove(proxy, stream)) {
      tables.removeProxy(proxy);
      module.get().onProxyLeft(loop.nowUs(), proxy);
      if (durable != null) {
        durable.left(proxy);
      }
    }
  }

  /**
   * A proxy answers a mark; one that another stream was sent, or that could not be, counts for
   * nothing.
   */
  void onAcknowledgement(ProxyStream stream, Message.Acknowledgement what) {
    if (streams.get(what.proxy()) != stream) {
      return;
    }
    if (!tables.acknowledge(loop.nowUs(), what.proxy(), what.number(), what.tookUs())) {
      if (Long.bitCount(++impossibleAnswers) == 1) {
        Logger.warn(
            "answers dropped: {} so far, the last of proxy {}: no mark {} is {} us old",
            impossibleAnswers,
            what.proxy(),
            what.number(),
            what.tookUs());
      }
      return;
    }
    if (durable != null) {
      durable.applied(what.proxy(), what.number());
    }
    module.get().onAcknowledgement(loop.nowUs(), what.proxy(), what.number(), what.tookUs());
  }
}
