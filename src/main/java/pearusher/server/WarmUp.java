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
 * Runs made-up control periods from message bytes to decisions to message bytes, before the first
 * ping is answered, so that the first real ones don't run code that was never compiled. It uses a
 * controller and a policy of its own, and never touches the real ones, a socket or the log.
 */
final class WarmUp {
  /** It ends after so many periods or nanoseconds, whichever comes first. */
  private static final int MAX_PERIODS = 60;

  private static final long MAX_DURATION_NS = 400_000_000L;

  /**
   * What a period holds at most. It is enough to compile the code, and a fleet whose first period
   * alone would take longer than a start may is cut down to it.
   */
  private static final int MAX_SERVERS = 256;

  private static final int MAX_PROXIES = 1024;
  private static final int MAX_ZONES = 8;

  private static final long START_US = 1_000_000_000_000_000L;

  /** A controller that calls nobody and logs nothing. */
  private static final class IsolatedController extends Controller {
    IsolatedController(
        AssignerConfig config,
        BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> policyFactory,
        AtomicLong clockUs) {
      super(config, policyFactory, clockUs::get, failure -> {});
      connect(new NoOutboundCalls(), (peer, body) -> {});
    }

    @Override
    public void awaitTick() {}

    @Override
    public void log(String text) {}
  }

  private static final class NoOutboundCalls implements OutboundCalls {
    @Override
    public void watchEndpoints(boolean on, long since) {}

    @Override
    public void fetchEndpoints() {}

    @Override
    public void checkHealth(long server, String hostPort) {}
  }

  /** A stream to no proxy; each message is decoded as a proxy would. */
  private record DecodingStream() implements ProxyStream {
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

  private final AssignerConfig config;
  private final Controller controller;
  private final AtomicLong clockUs = new AtomicLong(START_US);
  private final RespReader reader;
  private final MessageDecoder decoder;
  private final List<String> zones;

  private WarmUp(
      AssignerConfig config,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> policyFactory,
      RespReader reader) {
    this.config = config;
    this.reader = reader;
    decoder = new MessageDecoder(config.names(), config.settings());
    controller = new IsolatedController(config, policyFactory, clockUs);
    zones = config.names().zones().keySet().stream().limit(MAX_ZONES).toList();
  }

  /** Warms up the code for a configuration and a policy. */
  static void run(
      AssignerConfig config,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> policyFactory) {
    try (RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES)) {
      int periods =
          new WarmUp(config.withKnownServersUpTo(MAX_SERVERS), policyFactory, reader).runPeriods();
      Logger.debug("warmed up by {} periods", periods);
    } catch (RespException | MalformedMessageException e) {
      throw new IllegalStateException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Runs until one of the limits is reached; the number of periods. */
  private int runPeriods() throws RespException, MalformedMessageException, InterruptedException {
    long endNs = System.nanoTime() + MAX_DURATION_NS;
    controller.start();
    long generation = config.knownServers().generation();
    controller.onEndpointList(new EndpointList(generation, false, List.of()), true);
    joinProxies();
    int period = 0;
    while (period < MAX_PERIODS && System.nanoTime() < endNs) {
      clockUs.addAndGet(config.settings().controlPeriodUs());
      reportUsage(period);
      reportLoad(period);
      period++;
      controller.runIteration();
    }
    return period;
  }

  private int proxyCount() {
    return Math.min(MAX_PROXIES, config.settings().proxies());
  }

  private void joinProxies() throws RespException, MalformedMessageException {
    for (int proxy = 0; proxy < proxyCount(); proxy++) {
      String zone = zones.get(proxy % zones.size());
      Message join = decode("joined proxy " + proxy + " zone " + zone + " weight 5.5 fresh 1");
      controller.onProxyJoined(new DecodingStream(), (Message.ProxyJoin) join);
    }
  }

  private void reportUsage(int period) throws RespException, MalformedMessageException {
    for (int proxy = 0; proxy < proxyCount(); proxy++) {
      int attempts = 1 + (proxy + period) % 7;
      for (String requestClass : config.names().classes()) {
        Message report =
            decode(
                "usage proxy "
                    + proxy
                    + " class "
                    + requestClass
                    + " tries "
                    + attempts
                    + " failed 0 span_ms 1000.0");
        controller.onUsageReport((Message.UsageReport) report);
      }
    }
  }

  private void reportLoad(int period) throws RespException, MalformedMessageException {
    for (Endpoint endpoint : config.knownServers().endpoints()) {
      int meanMs = 20 + (endpoint.server().hashCode() + period * 7 & 63);
      for (String zone : zones) {
        Message report =
            decode(
                "heard zone "
                    + zone
                    + " server "
                    + endpoint.server()
                    + " tries 9 failed "
                    + period % 2
                    + " mean_ms "
                    + meanMs
                    + ".5 span_ms 1000.0 load inflight:7,util:0.61");
        controller.onLoadReport((Message.LoadReport) report);
      }
    }
  }

  private Message decode(String line) throws RespException, MalformedMessageException {
    byte[] encoded = RespWriter.encode(List.of(line.split(" ")));
    List<String> words = reader.next(ByteBuffer.wrap(encoded));
    return decoder.decode(words);
  }
}
