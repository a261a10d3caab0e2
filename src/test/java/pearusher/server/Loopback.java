package pearusher.server;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import pearusher.control.Exchange;
import pearusher.control.Scripted;
import pearusher.policy.Assigner;

/** An assigner on loopback with a scripted module, its discovery, and what the log said. */
public abstract class Loopback {
  static final List<String> CLASSES = List.of("lookup", "order");
  @TempDir Path dir;
  public final Scripted module = new Scripted();
  final AtomicReference<Throwable> failure = new AtomicReference<>();
  final List<Serve> running = new ArrayList<>();
  public Stand.Http discovery;
  public Example example;
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
    discovery = new Stand.Http();
    example = new Example().discovery(discovery.address());
  }

  @AfterEach
  void end() throws Exception {
    for (Serve one : running) {
      one.stop();
    }
    discovery.close();
    System.setOut(standard);
  }

  public void logged(String text) throws InterruptedException {
    Stand.until(
        text,
        () -> {
          synchronized (log) {
            return log.toString(StandardCharsets.UTF_8).contains(text);
          }
        });
  }

  Serve start(BiFunction<Assigner.Settings, Assigner.Orders, Assigner> maker) throws Exception {
    Serve serve = new Serve(example.read(dir), maker, Exchange.unixClock(), failure::set);
    running.add(serve);
    module.on(serve.exchange());
    at = serve.start();
    return serve;
  }

  public Serve start() throws Exception {
    return start(module);
  }

  Stand.ProxyStream proxy(int number, Stand.Held held, boolean fresh) throws IOException {
    Stand.ProxyStream out = new Stand.ProxyStream(at, held);
    out.send("joined proxy " + number + " zone north weight 2.5 fresh " + (fresh ? 1 : 0));
    return out;
  }

  Stand.ProxyStream proxy(int number) throws Exception {
    Stand.ProxyStream out = proxy(number, new Stand.Held(CLASSES), true);
    module.hear("joined " + number);
    return out;
  }

  /** Starts with a watch that the module asked for. */
  public Stand.Request watch() throws Exception {
    start();
    module.order(o -> o.watch(true));
    return discovery.next();
  }
}
