package pearusher.server;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import pearusher.control.Controller;
import pearusher.control.ScriptedPolicy;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;

/**
 * Assigner on the loopback interface with a scripted policy, a discovery stub and a captured log.
 */
public abstract class LoopbackFixture {
  static final List<String> CLASSES = List.of("lookup", "order");
  @TempDir Path directory;
  public final ScriptedPolicy policy = new ScriptedPolicy();
  final AtomicReference<Throwable> failure = new AtomicReference<>();
  final List<AssignerServer> servers = new ArrayList<>();
  public HttpStub discovery;
  public ExampleConfig example;
  InetSocketAddress address;

  /** Time by which the assigners' clock is ahead of the system's, in microseconds. */
  final AtomicLong clockOffsetUs = new AtomicLong();

  /** Captured log lines, which are also written to standard output. */
  public final ByteArrayOutputStream log = new ByteArrayOutputStream();

  private PrintStream standardOutput;

  @BeforeEach
  void startDiscoveryAndCaptureLog() throws Exception {
    standardOutput = System.out;
    System.setOut(
        new PrintStream(standardOutput) {
          @Override
          public void write(byte[] bytes, int offset, int length) {
            synchronized (log) {
              log.write(bytes, offset, length);
            }
            super.write(bytes, offset, length);
          }
        });
    discovery = new HttpStub();
    example = new ExampleConfig().discovery(discovery.address());
  }

  @AfterEach
  void stopServers() throws Exception {
    for (AssignerServer server : servers) {
      server.stop();
    }
    discovery.close();
    System.setOut(standardOutput);
  }

  /** Waits until the captured log contains a text; fails the test after 20 s. */
  public void awaitLog(String text) throws InterruptedException {
    TestPeers.awaitUntil(
        text,
        () -> {
          synchronized (log) {
            return log.toString(StandardCharsets.UTF_8).contains(text);
          }
        });
  }

  AssignerServer start(BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> policyFactory)
      throws Exception {
    LongSupplier clockUs = Controller.unixClock();
    AssignerServer server =
        new AssignerServer(
            example.read(directory),
            policyFactory,
            () -> clockUs.getAsLong() + clockOffsetUs.get(),
            failure::set,
            Optional.empty(),
            Optional.empty());
    servers.add(server);
    policy.setController(server.controller());
    address = server.start();
    return server;
  }

  /** Starts an assigner with the scripted policy. */
  public AssignerServer start() throws Exception {
    return start(policy);
  }

  ProxyClient joinProxy(int number, AppliedUpdates applied, boolean isFresh) throws IOException {
    ProxyClient client = new ProxyClient(address, applied);
    client.send("joined proxy " + number + " zone north weight 2.5 fresh " + (isFresh ? 1 : 0));
    return client;
  }

  ProxyClient joinProxy(int number) throws Exception {
    ProxyClient client = joinProxy(number, new AppliedUpdates(CLASSES), true);
    policy.awaitEvent("onProxyJoined " + number);
    return client;
  }

  /** Starts an assigner whose policy starts a watch. Returns the request of the watch. */
  public StubRequest startWithWatch() throws Exception {
    start();
    policy.command(commands -> commands.watchEndpoints(true));
    return discovery.awaitRequest();
  }
}
