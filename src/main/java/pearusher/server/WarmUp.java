package pearusher.server;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import org.tinylog.Logger;
import pearusher.config.AssignerConfig;
import pearusher.control.Controller;
import pearusher.control.OutboundCalls;
import pearusher.control.ProxyStream;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;
import pearusher.protocol.Endpoint;
import pearusher.protocol.EndpointList;
import pearusher.protocol.MalformedMessageException;
import pearusher.protocol.Message;
import pearusher.protocol.MessageDecoder;
import pearusher.protocol.RespException;
import pearusher.protocol.RespReader;
import pearusher.protocol.RespWriter;

/**
 * Runs the way of an event from bytes to decision to bytes on invented periods, before the first
 * ping is answered, so that the first real ones don't meet code that was never compiled. It works
 * on an exchange and a module of its own that nobody hears; it must never touch the real ones, a
 * socket or the log.
 */
final class WarmUp {
  /** Ends after so many periods or nanoseconds, whichever comes first. */
  private static final int PERIODS = 60;

  private static final long MOST_NS = 400_000_000L;

  /**
   * What a period holds at the most, enough to compile what real ones meet. Guards against a fleet
   * whose first invented period alone, all servers for all zones, would take longer than the start
   * may.
   */
  private static final int MOST_SERVERS = 256;

  private static final int MOST_PROXIES = 1024;
  private static final int MOST_ZONES = 8;

  /** An exchange to which the outside world is nothing. */
  private static final class Silent extends Controller {
    Silent(
        AssignerConfig config,
        BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> maker,
        AtomicLong clock) {
      super(config, maker, clock::get, failure -> {});
      connect(
          new OutboundCalls() {
            @Override
            public void watchEndpoints(boolean on, long since) {}

            @Override
            public void fetchEndpoints() {}

            @Override
            public void checkHealth(long server, String hostPort) {}
          },
          (peer, body) -> {});
    }

    @Override
    public void awaitTick() {}

    @Override
    public void log(String text) {}
  }

  /** A stream whose proxy reads nothing; each message is read back as a proxy would. */
  private record Nobody() implements ProxyStream {
    @Override
    public void send(byte[] message) {
      try (RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES)) {
        reader.next(ByteBuffer.wrap(message));
      } catch (RespException e) {
        throw new IllegalStateException(e);
      }
    }

    @Override
    public void onReplaced() {}
  }

  private WarmUp() {}

  static void run(
      AssignerConfig whole, BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> maker) {
    AssignerConfig config = whole.withKnownServersUpTo(MOST_SERVERS);
    AtomicLong clock = new AtomicLong(1_000_000_000_000_000L);
    Controller exchange = new Silent(config, maker, clock);
    long end = System.nanoTime() + MOST_NS;
    int period = 0;
    try (RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES)) {
      exchange.start();
      exchange.onEndpointList(
          new EndpointList(config.knownServers().generation(), false, List.of()), true);
      while (period < PERIODS && System.nanoTime() < end) {
        clock.addAndGet(config.settings().controlPeriodUs());
        period(config, exchange, reader, period++);
        exchange.runIteration();
      }
    } catch (RespException | MalformedMessageException e) {
      throw new IllegalStateException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    Logger.debug("warmed up by {} periods", period);
  }

  private static void period(
      AssignerConfig config, Controller exchange, RespReader reader, int period)
      throws RespException, MalformedMessageException {
    List<String> zones = config.names().zones().keySet().stream().limit(MOST_ZONES).toList();
    for (int p = 0; p < Math.min(MOST_PROXIES, config.settings().proxies()); p++) {
      String zone = zones.get(p % zones.size());
      if (period == 0) {
        exchange.onProxyJoined(
            new Nobody(),
            (Message.ProxyJoin)
                read(
                    config, reader, "joined proxy " + p + " zone " + zone + " weight 5.5 fresh 1"));
      }
      for (String grade : config.names().classes()) {
        exchange.onUsageReport(
            (Message.UsageReport)
                read(
                    config,
                    reader,
                    "usage proxy "
                        + p
                        + " class "
                        + grade
                        + " tries "
                        + (1 + (p + period) % 7)
                        + " failed 0 span_ms 1000.0"));
      }
    }
    for (Endpoint one : config.knownServers().endpoints()) {
      for (String zone : zones) {
        int ms = 20 + (one.server().hashCode() + period * 7 & 63);
        exchange.onLoadReport(
            (Message.LoadReport)
                read(
                    config,
                    reader,
                    "heard zone "
                        + zone
                        + " server "
                        + one.server()
                        + " tries 9 failed "
                        + period % 2
                        + " mean_ms "
                        + ms
                        + ".5 span_ms 1000.0 load inflight:7,util:0.61"));
      }
    }
  }

  private static Message read(AssignerConfig config, RespReader reader, String line)
      throws RespException, MalformedMessageException {
    List<String> words = reader.next(ByteBuffer.wrap(RespWriter.encode(List.of(line.split(" ")))));
    return new MessageDecoder(config.names(), config.settings()).decode(words);
  }
}
