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
 * An exchange with the real module, without sockets and on a clock of the test's: discovery answers
 * at once, and each proxy's stream keeps the bytes that it gets. The same calls give the same
 * bytes.
 */
final class TranscriptSite {
  private static final Pattern MARK =
      Pattern.compile("\\r\\nticket\\r\\n\\$\\d+\\r\\n(\\d+)\\r\\n");
  private static final long START_US = 1_800_000_000_000_000L;

  /** A message that a proxy got: its turn, counted from 1, and its bytes. */
  record Sent(int turn, int proxy, byte[] bytes) {
    String text() {
      return new String(bytes, StandardCharsets.US_ASCII);
    }
  }

  /** What the test says of a server. */
  record Listed(int zone, String lifecycle, long startedMs) {}

  /** A proxy's connection. */
  private final class RecordingStream implements ProxyStream {
    private final int proxy;
    private boolean open = true;
    private int unanswered = -1;

    RecordingStream(int proxy) {
      this.proxy = proxy;
    }

    @Override
    public void send(byte[] message) {
      if (!open) {
        return;
      }
      Sent one = new Sent(turn, proxy, message);
      sent.add(one);
      Matcher mark = MARK.matcher(one.text());
      while (mark.find()) {
        unanswered = Integer.parseInt(mark.group(1));
      }
    }

    @Override
    public void onReplaced() {
      open = false;
    }
  }

  final Map<String, Listed> servers = new TreeMap<>();
  final List<Sent> sent = new ArrayList<>();
  private final List<String> zones;
  private final AtomicLong clock;
  private final AssignerConfig config;
  private final Optional<DurablePublisher> publisher;
  private final Controller exchange;
  private final Map<Integer, RecordingStream> streams = new TreeMap<>();
  private long generation = 100;
  private int turn;
  private Throwable failure;

  TranscriptSite(AssignerConfig config, List<String> zones) {
    this(config, zones, (peer, body) -> {});
  }

  /** An exchange whose datagrams go to what the test gives. */
  TranscriptSite(AssignerConfig config, List<String> zones, PeerMessenger peers) {
    this(config, zones, new AtomicLong(START_US), Optional.empty(), peers);
  }

  private TranscriptSite(
      AssignerConfig config,
      List<String> zones,
      AtomicLong clock,
      Optional<DurablePublisher> publisher,
      PeerMessenger peers) {
    this.config = config;
    this.zones = zones;
    this.clock = clock;
    this.publisher = publisher;
    exchange =
        new Controller(
            config,
            FaastPolicy::new,
            clock::get,
            thrown -> failure = thrown,
            publisher.<Persistence>map(durable -> durable).orElseGet(Persistence::none),
            Optional.empty()) {
          @Override
          public void awaitTick() {}
        };
    exchange.connect(
        new OutboundCalls() {
          @Override
          public void watchEndpoints(boolean on, long since) {
            if (on) {
              list(true, List.copyOf(servers.keySet()), true);
            }
          }

          @Override
          public void fetchEndpoints() {
            list(true, List.copyOf(servers.keySet()), false);
          }

          @Override
          public void checkHealth(long server, String hostPort) {}
        },
        peers);
  }

  /** An exchange with a store, whose updates are sent once they are in it. */
  static TranscriptSite durable(
      AssignerConfig config, List<String> zones, PersistenceOptions options) throws IOException {
    return durable(config, zones, options, new AtomicLong(START_US));
  }

  private static TranscriptSite durable(
      AssignerConfig config, List<String> zones, PersistenceOptions options, AtomicLong clock)
      throws IOException {
    DurablePublisher publisher = DurablePublisher.open(config, options, clock::get);
    publisher.start();
    return new TranscriptSite(config, zones, clock, Optional.of(publisher), (peer, body) -> {});
  }

  /** The process ends, and another on the same store goes on with the servers and the turns. */
  TranscriptSite restart(PersistenceOptions options, long laterUs) throws IOException {
    streams.values().forEach(stream -> stream.open = false);
    publisher.orElseThrow().close();
    clock.addAndGet(laterUs);
    TranscriptSite next = durable(config, zones, options, clock);
    next.servers.putAll(servers);
    next.generation = generation;
    next.turn = turn;
    return next;
  }

  /** The process ends. */
  void end() throws IOException {
    publisher.orElseThrow().close();
  }

  void begin() throws InterruptedException {
    exchange.start();
    awaitStore();
  }

  /** Waits until the store has everything and has released what proxies are sent. */
  private void awaitStore() throws InterruptedException {
    if (publisher.isPresent()) {
      TestPeers.awaitUntil("in the store", () -> publisher.get().pendingIterations() == 0);
    }
  }

  /** A datagram of another assigner. */
  void deliver(int peer, byte[] body) {
    exchange.onPeerMessage(peer, body);
  }

  /** Time goes on and everything that was said since the last call has its turn. */
  void turn(long laterUs) throws InterruptedException {
    turn++;
    clock.addAndGet(laterUs);
    exchange.execute(() -> {});
    exchange.runIteration();
    awaitStore();
    if (failure != null) {
      throw new AssertionError(failure);
    }
  }

  /** Discovery tells that a server changed. */
  void change(String server, String lifecycle) {
    Listed old = servers.get(server);
    boolean starts = lifecycle.equals("in_service");
    servers.put(
        server, new Listed(old.zone(), lifecycle, starts ? clock.get() / 1000 : old.startedMs()));
    generation++;
    list(false, List.of(server), false);
    if (lifecycle.equals("terminated")) {
      servers.remove(server);
    }
  }

  private void list(boolean whole, List<String> names, boolean begins) {
    String[] instances =
        names.stream()
            .map(
                name -> {
                  Listed one = servers.get(name);
                  return TestPeers.endpointJson(
                      name,
                      "127.0.0.1:9000",
                      zones.get(one.zone()),
                      one.lifecycle(),
                      one.startedMs());
                })
            .toArray(String[]::new);
    try {
      exchange.onEndpointList(
          TestPeers.readEndpointList(
              TestPeers.endpointListJson(generation, whole, instances), config.names()),
          begins);
    } catch (SettingsException e) {
      throw new IllegalStateException(e);
    }
  }

  void join(int proxy, boolean fresh) throws MalformedMessageException {
    RecordingStream stream = new RecordingStream(proxy);
    streams.put(proxy, stream);
    say(
        stream,
        "joined proxy "
            + proxy
            + " zone "
            + zones.get(proxy % zones.size())
            + " weight "
            + (2.5 + proxy)
            + " fresh "
            + (fresh ? 1 : 0));
  }

  void leave(int proxy) {
    RecordingStream stream = streams.remove(proxy);
    stream.open = false;
    exchange.onStreamClosed(stream, proxy);
  }

  /** Every joined proxy answers the last mark that it got. */
  void answerMarks() throws MalformedMessageException {
    for (RecordingStream stream : streams.values()) {
      if (stream.unanswered >= 0) {
        say(
            stream,
            "applied proxy " + stream.proxy + " mark " + stream.unanswered + " took_ms 12.5");
        stream.unanswered = -1;
      }
    }
  }

  List<Integer> joined() {
    return List.copyOf(streams.keySet());
  }

  /** A message of a collector's. */
  void report(String line) throws MalformedMessageException {
    say(null, line);
  }

  private void say(RecordingStream stream, String line) throws MalformedMessageException {
    Message message =
        new MessageDecoder(config.names(), config.settings()).decode(List.of(line.split(" ")));
    if (message instanceof Message.ProxyJoin joined) {
      exchange.onProxyJoined(stream, joined);
    } else if (message instanceof Message.Acknowledgement applied) {
      exchange.onAcknowledgement(stream, applied);
    } else if (message instanceof Message.LoadReport heard) {
      exchange.onLoadReport(heard);
    } else if (message instanceof Message.UsageReport usage) {
      exchange.onUsageReport(usage);
    } else {
      throw new IllegalArgumentException(line);
    }
  }

  /** All messages so far with turn and proxy, as bytes for a digest. */
  byte[] transcript() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (Sent one : sent) {
      String head = one.turn() + " " + one.proxy() + " " + one.bytes().length + "\n";
      out.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
      out.writeBytes(one.bytes());
    }
    return out.toByteArray();
  }
}
