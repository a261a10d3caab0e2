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
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import pearusher.control.Controller;
import pearusher.control.ScriptedPolicy;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;

/** An assigner on loopback with a scripted module, its discovery, and what the log said. */
public abstract class LoopbackFixture {
  static final List<String> CLASSES = List.of("lookup", "order");
  @TempDir Path dir;
  public final ScriptedPolicy module = new ScriptedPolicy();
  final AtomicReference<Throwable> failure = new AtomicReference<>();
  final List<AssignerServer> running = new ArrayList<>();
  public TestPeers.HttpStub discovery;
  public ExampleConfig example;
  InetSocketAddress at;

  /** What the log said; it goes to standard output all the same. */
  public final ByteArrayOutputStream log = new ByteArrayOutputStream();

  private PrintStream standard;

  @BeforeEach
  void outside() throws Exception {
    standard = System.out;
    System.setOut(
        new PrintStream(standard) {
          @Override
          public void write(byte[] raw, int from, int n) {
            synchronized (log) {
              log.write(raw, from, n);
            }
            super.write(raw, from, n);
          }
        });
    discovery = new TestPeers.HttpStub();
    example = new ExampleConfig().discovery(discovery.address());
  }

  @AfterEach
  void end() throws Exception {
    for (AssignerServer one : running) {
      one.stop();
    }
    discovery.close();
    System.setOut(standard);
  }

  public void logged(String text) throws InterruptedException {
    TestPeers.until(
        text,
        () -> {
          synchronized (log) {
            return log.toString(StandardCharsets.UTF_8).contains(text);
          }
        });
  }

  AssignerServer start(BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> maker)
      throws Exception {
    AssignerServer serve =
        new AssignerServer(
            example.read(dir),
            maker,
            Controller.unixClock(),
            failure::set,
            Optional.empty(),
            Optional.empty());
    running.add(serve);
    module.on(serve.controller());
    at = serve.start();
    return serve;
  }

  public AssignerServer start() throws Exception {
    return start(module);
  }

  TestPeers.ProxyClient proxy(int number, TestPeers.AppliedUpdates held, boolean fresh)
      throws IOException {
    TestPeers.ProxyClient out = new TestPeers.ProxyClient(at, held);
    out.send("joined proxy " + number + " zone north weight 2.5 fresh " + (fresh ? 1 : 0));
    return out;
  }

  TestPeers.ProxyClient proxy(int number) throws Exception {
    TestPeers.ProxyClient out = proxy(number, new TestPeers.AppliedUpdates(CLASSES), true);
    module.hear("onProxyJoined " + number);
    return out;
  }

  /** Starts with a watch that the module asked for. */
  public TestPeers.Request watch() throws Exception {
    start();
    module.order(o -> o.watchEndpoints(true));
    return discovery.next();
  }
}
