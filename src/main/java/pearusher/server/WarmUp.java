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
 * Warm-up of the code before the first ping is answered: runs synthetic control periods, from
 * decoding messages through decisions to encoding updates, so that the first real control periods
 * do not run in uncompiled code. It uses a separate controller and policy, opens no sockets, and
 * discards what that policy logs.
 */
final class WarmUp {
  /**
   * The warm-up ends at this number of periods or at {@link #MAX_DURATION_NS}, if that is earlier.
   */
  private static final int MAX_PERIODS = 60;

  private static final long MAX_DURATION_NS = 400_000_000L;

  /**
   * Limits of a synthetic control period. They suffice to have the code compiled, and bound the
   * start-up time for fleets whose first period alone would take longer than a start may.
   */
  private static final int MAX_SERVERS = 256;

  private static final int MAX_PROXIES = 1024;
  private static final int MAX_ZONES = 8;

  private static final long START_US = 1_000_000_000_000_000L;

  /** Controller that makes no outbound calls and discards log lines of the policy. */
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

  /** Stream without a proxy, which decodes each message as a proxy does. */
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

  /**
   * Runs the warm-up for a configuration and a policy. Returns early if interrupted, with the flag
   * set.
   */
  static void run(
      AssignerConfig config,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> policyFactory) {
    try (RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES)) {
      int periods =
          new WarmUp(config.withKnownServersUpTo(MAX_SERVERS), policyFactory, reader).runPeriods();
      Logger.debug("warm-up finished: {} control periods", periods);
    } catch (RespException | MalformedMessageException e) {
      throw new IllegalStateException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Runs control periods until one of the limits is reached. Returns their number. */
  private int runPeriods() throws RespException, MalformedMessageException, InterruptedException {
    long endNs = System.nanoTime() + MAX_DURATION_NS;
    controller.start();
    long generation = config.initialServers().generation();
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
    for (Endpoint endpoint : config.initialServers().endpoints()) {
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
