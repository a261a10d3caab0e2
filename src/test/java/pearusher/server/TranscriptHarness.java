package pearusher.server;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import pearusher.config.AssignerConfig;
import pearusher.control.Controller;
import pearusher.control.DurablePublisher;
import pearusher.control.OutboundCalls;
import pearusher.control.PeerMessenger;
import pearusher.control.Persistence;
import pearusher.control.PersistenceOptions;
import pearusher.control.ProxyStream;
import pearusher.policy.FaastPolicy;
import pearusher.protocol.MalformedMessageException;
import pearusher.protocol.Message;
import pearusher.protocol.MessageDecoder;
import pearusher.sitesettings.SettingsException;

/**
 * Deterministic harness of a controller with the real policy, without sockets and with a simulated
 * clock: discovery responds immediately, and the stream of each proxy records the sent bytes. The
 * same calls result in the same bytes.
 */
final class TranscriptHarness {
  private static final Pattern ACK_NUMBER =
      Pattern.compile("\\r\\nticket\\r\\n\\$\\d+\\r\\n(\\d+)\\r\\n");
  private static final long START_US = 1_800_000_000_000_000L;

  /** Bytes of an update sent to a proxy in an iteration, counted from 1. */
  record SentUpdate(int iteration, int proxy, byte[] bytes) {
    String text() {
      return new String(bytes, StandardCharsets.US_ASCII);
    }
  }

  /** Attributes of a server in the endpoint list. */
  record ListedServer(int zoneIndex, String lifecycle, long startedMs) {}

  /** Stream of a proxy that records the sent bytes and the last requested acknowledgement. */
  private final class RecordingStream implements ProxyStream {
    private final int proxy;
    private boolean isOpen = true;

    /** Number of the acknowledgement to send; -1 if none was requested. */
    private int pendingAck = -1;

    RecordingStream(int proxy) {
      this.proxy = proxy;
    }

    @Override
    public void send(byte[] message) {
      if (!isOpen) {
        return;
      }
      SentUpdate update = new SentUpdate(iteration, proxy, message);
      sentUpdates.add(update);
      Matcher ackNumber = ACK_NUMBER.matcher(update.text());
      while (ackNumber.find()) {
        pendingAck = Integer.parseInt(ackNumber.group(1));
      }
    }

    @Override
    public void onReplaced() {
      isOpen = false;
    }
  }

  final Map<String, ListedServer> servers = new TreeMap<>();
  final List<SentUpdate> sentUpdates = new ArrayList<>();
  private final List<String> zones;
  private final AtomicLong clockUs;
  private final AssignerConfig config;
  private final Optional<DurablePublisher> publisher;
  private final Controller controller;
  private final Map<Integer, RecordingStream> streams = new TreeMap<>();
  private long generation = 100;
  private int iteration;
  private Throwable failure;

  TranscriptHarness(AssignerConfig config, List<String> zones) {
    this(config, zones, (peer, body) -> {});
  }

  /** Creates a harness without a store whose datagrams to other assigners go to a messenger. */
  TranscriptHarness(AssignerConfig config, List<String> zones, PeerMessenger peers) {
    this(config, zones, new AtomicLong(START_US), Optional.empty(), peers);
  }

  private TranscriptHarness(
      AssignerConfig config,
      List<String> zones,
      AtomicLong clockUs,
      Optional<DurablePublisher> publisher,
      PeerMessenger peers) {
    this.config = config;
    this.zones = zones;
    this.clockUs = clockUs;
    this.publisher = publisher;
    controller =
        new Controller(
            config,
            FaastPolicy::new,
            clockUs::get,
            thrown -> failure = thrown,
            publisher.<Persistence>map(durable -> durable).orElseGet(Persistence::none),
            Optional.empty()) {
          @Override
          public void awaitTick() {}
        };
    controller.connect(
        new OutboundCalls() {
          @Override
          public void watchEndpoints(boolean on, long since) {
            if (on) {
              deliverList(true, List.copyOf(servers.keySet()), true);
            }
          }

          @Override
          public void fetchEndpoints() {
            deliverList(true, List.copyOf(servers.keySet()), false);
          }

          @Override
          public void checkHealth(long server, String hostPort) {}
        },
        peers);
  }

  /** Creates a harness with a store; updates are sent after they have been stored. */
  static TranscriptHarness durable(
      AssignerConfig config, List<String> zones, PersistenceOptions options) throws IOException {
    return durable(config, zones, options, new AtomicLong(START_US));
  }

  private static TranscriptHarness durable(
      AssignerConfig config, List<String> zones, PersistenceOptions options, AtomicLong clockUs)
      throws IOException {
    DurablePublisher publisher = DurablePublisher.open(config, options, clockUs::get);
    publisher.start();
    return new TranscriptHarness(
        config, zones, clockUs, Optional.of(publisher), (peer, body) -> {});
  }

  /**
   * Closes the store and the streams. Returns a harness on the same store that continues with the
   * same servers, list generation and iteration number.
   */
  TranscriptHarness restart(PersistenceOptions options, long downtimeUs) throws IOException {
    streams.values().forEach(stream -> stream.isOpen = false);
    publisher.orElseThrow().close();
    clockUs.addAndGet(downtimeUs);
    TranscriptHarness successor = durable(config, zones, options, clockUs);
    successor.servers.putAll(servers);
    successor.generation = generation;
    successor.iteration = iteration;
    return successor;
  }

  /** Closes the store. */
  void closeStore() throws IOException {
    publisher.orElseThrow().close();
  }

  void start() throws InterruptedException {
    controller.start();
    awaitStoreWrites();
  }

  /** Waits until everything is stored and the store has released the updates to proxies. */
  private void awaitStoreWrites() throws InterruptedException {
    if (publisher.isPresent()) {
      TestPeers.awaitUntil(
          "all iterations are stored", () -> publisher.get().pendingIterations() == 0);
    }
  }

  /** Delivers a datagram of another assigner. */
  void deliverDatagram(int peer, byte[] body) {
    controller.onPeerMessage(peer, body);
  }

  /** Advances the clock and processes all events since the last call in one iteration. */
  void runIteration(long elapsedUs) throws InterruptedException {
    iteration++;
    clockUs.addAndGet(elapsedUs);
    controller.execute(() -> {});
    controller.runIteration();
    awaitStoreWrites();
    if (failure != null) {
      throw new AssertionError(failure);
    }
  }

  /** Changes a server and delivers a delta of the endpoint list. */
  void changeServer(String server, String lifecycle) {
    ListedServer previous = servers.get(server);
    boolean isStarting = lifecycle.equals("in_service");
    servers.put(
        server,
        new ListedServer(
            previous.zoneIndex(),
            lifecycle,
            isStarting ? clockUs.get() / 1000 : previous.startedMs()));
    generation++;
    deliverList(false, List.of(server), false);
    if (lifecycle.equals("terminated")) {
      servers.remove(server);
    }
  }

  private void deliverList(boolean isComplete, List<String> names, boolean startsWatch) {
    String[] instances =
        names.stream()
            .map(
                name -> {
                  ListedServer server = servers.get(name);
                  return TestPeers.endpointJson(
                      name,
                      "127.0.0.1:9000",
                      zones.get(server.zoneIndex()),
                      server.lifecycle(),
                      server.startedMs());
                })
            .toArray(String[]::new);
    try {
      controller.onEndpointList(
          TestPeers.readEndpointList(
              TestPeers.endpointListJson(generation, isComplete, instances), config.names()),
          startsWatch);
    } catch (SettingsException e) {
      throw new IllegalStateException(e);
    }
  }

  void joinProxy(int proxy, boolean isFresh) throws MalformedMessageException {
    RecordingStream stream = new RecordingStream(proxy);
    streams.put(proxy, stream);
    deliverMessage(
        stream,
        "joined proxy "
            + proxy
            + " zone "
            + zones.get(proxy % zones.size())
            + " weight "
            + (2.5 + proxy)
            + " fresh "
            + (isFresh ? 1 : 0));
  }

  void disconnectProxy(int proxy) {
    RecordingStream stream = streams.remove(proxy);
    stream.isOpen = false;
    controller.onStreamClosed(stream, proxy);
  }

  /** Sends the last requested acknowledgement of each connected proxy. */
  void acknowledgeUpdates() throws MalformedMessageException {
    for (RecordingStream stream : streams.values()) {
      if (stream.pendingAck >= 0) {
        deliverMessage(
            stream,
            "applied proxy " + stream.proxy + " mark " + stream.pendingAck + " took_ms 12.5");
        stream.pendingAck = -1;
      }
    }
  }

  List<Integer> connectedProxies() {
    return List.copyOf(streams.keySet());
  }

  /** Delivers a message of a collector. */
  void deliverReport(String line) throws MalformedMessageException {
    deliverMessage(null, line);
  }

  private void deliverMessage(RecordingStream stream, String line)
      throws MalformedMessageException {
    Message message =
        new MessageDecoder(config.names(), config.settings()).decode(List.of(line.split(" ")));
    if (message instanceof Message.ProxyJoin join) {
      controller.onProxyJoined(stream, join);
    } else if (message instanceof Message.Acknowledgement acknowledgement) {
      controller.onAcknowledgement(stream, acknowledgement);
    } else if (message instanceof Message.LoadReport load) {
      controller.onLoadReport(load);
    } else if (message instanceof Message.UsageReport usage) {
      controller.onUsageReport(usage);
    } else {
      throw new IllegalArgumentException("unsupported message: " + line);
    }
  }

  /** Returns all sent updates with their iterations and proxies, as bytes for a digest. */
  byte[] transcript() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (SentUpdate update : sentUpdates) {
      String header =
          update.iteration() + " " + update.proxy() + " " + update.bytes().length + "\n";
      out.writeBytes(header.getBytes(StandardCharsets.US_ASCII));
      out.writeBytes(update.bytes());
    }
    return out.toByteArray();
  }
}
