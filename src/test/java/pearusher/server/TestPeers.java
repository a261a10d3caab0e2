package pearusher.server;

import static org.junit.jupiter.api.Assertions.fail;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BooleanSupplier;
import pearusher.protocol.EndpointList;
import pearusher.protocol.EndpointListLimits;
import pearusher.protocol.EndpointListReader;
import pearusher.protocol.WireNames;
import pearusher.sitesettings.SettingsException;

/**
 * Small stand-ins for the outside systems, written from the protocol's page, and waits on
 * conditions.
 */
public final class TestPeers {
  private TestPeers() {}

  /** Waits until it holds; a test that hangs here has failed. */
  public static void until(String what, BooleanSupplier holds) throws InterruptedException {
    long end = System.nanoTime() + 20_000_000_000L;
    while (!holds.getAsBoolean()) {
      if (System.nanoTime() > end) {
        fail("never came: " + what);
      }
      Thread.sleep(2);
    }
  }

  public static byte[] words(String... words) {
    StringBuilder out = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      out.append('$')
          .append(word.getBytes(StandardCharsets.UTF_8).length)
          .append("\r\n")
          .append(word)
          .append("\r\n");
    }
    return out.toString().getBytes(StandardCharsets.UTF_8);
  }

  static byte[] say(String line) {
    return words(line.split(" "));
  }

  /** A connection that says what it is told to and notes what comes. */
  static class RespClient implements AutoCloseable {
    final Socket socket = new Socket();
    final List<List<String>> came = new CopyOnWriteArrayList<>();
    volatile boolean ended;

    RespClient(InetSocketAddress to) throws IOException {
      socket.connect(to, 5000);
    }

    RespClient reading() {
      Thread reader =
          new Thread(
              () -> {
                try {
                  while (true) {
                    List<String> words = read(socket.getInputStream());
                    came.add(words);
                    message(words);
                  }
                } catch (IOException e) {
                  ended = true;
                }
              });
      reader.setDaemon(true);
      reader.start();
      return this;
    }

    void message(List<String> words) throws IOException {}

    void send(String line) throws IOException {
      send(say(line));
    }

    void send(byte[] raw) throws IOException {
      socket.getOutputStream().write(raw);
      socket.getOutputStream().flush();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }

    /** Ends as a killed process does. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    private static String line(InputStream in, char kind) throws IOException {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      for (int b = in.read(); b != '\n'; b = in.read()) {
        if (b < 0) {
          throw new EOFException();
        }
        out.write(b);
      }
      String text = out.toString(StandardCharsets.ISO_8859_1);
      if (text.charAt(0) != kind || !text.endsWith("\r")) {
        throw new IOException("not RESP: " + text);
      }
      return text.substring(1, text.length() - 1);
    }

    private static List<String> read(InputStream in) throws IOException {
      List<String> out = new ArrayList<>();
      for (int left = Integer.parseInt(line(in, '*')); left > 0; left--) {
        int length = Integer.parseInt(line(in, '$'));
        byte[] raw = in.readNBytes(length + 2);
        if (raw.length < length + 2) {
          throw new EOFException();
        }
        out.add(new String(raw, 0, length, StandardCharsets.UTF_8));
      }
      return out;
    }
  }

  /** What a proxy holds for one class. */
  public static final class AppliedTable {
    public Map<String, Float> lines = new TreeMap<>();
    public Float level;
    public Integer retry;

    @Override
    public String toString() {
      return lines + " level " + level + " retry " + retry;
    }
  }

  /** A proxy that applies updates as the page says; what it holds outlasts its streams. */
  public static final class AppliedUpdates {
    public final Map<String, AppliedTable> by = new TreeMap<>();
    public final Set<String> out = new TreeSet<>();
    public final List<Integer> tickets = new CopyOnWriteArrayList<>();
    public final List<String> faults = new CopyOnWriteArrayList<>();

    /** Whole messages, and parts of one that goes on. */
    public volatile int messages;

    int lines;
    private int parts;

    public AppliedUpdates(List<String> classes) {
      classes.forEach(c -> by.put(c, new AppliedTable()));
    }

    public synchronized String shown() {
      return by + " out " + out;
    }

    public synchronized void update(List<String> words) {
      Map<String, String> at = new HashMap<>();
      for (int k = 1; k < words.size(); k += 2) {
        if (at.put(words.get(k), words.get(k + 1)) != null) {
          faults.add("twice: " + words.get(k));
        }
      }
      if (!words.get(0).equals("update") || words.size() % 2 == 0) {
        faults.add("unreadable: " + words);
        return;
      }
      List<String> which =
          at.containsKey("classes")
              ? List.of(at.get("classes").split("\\+"))
              : List.copyOf(by.keySet());
      for (String c : which) {
        AppliedTable holding = by.get(c);
        if (holding == null) {
          faults.add("class " + c);
          continue;
        }
        if (at.containsKey("whole")) {
          holding.lines = new TreeMap<>();
          holding.level = null;
          holding.retry = null;
        }
        if (at.containsKey("lines")) {
          for (String one : at.get("lines").split(",")) {
            int colon = one.lastIndexOf(':');
            String weight = one.substring(colon + 1);
            if (!weight.matches("[0-9]+(\\.[0-9]+)?")) {
              faults.add("weight " + weight);
            } else if (Float.parseFloat(weight) == 0) {
              holding.lines.remove(one.substring(0, colon));
            } else {
              holding.lines.put(one.substring(0, colon), Float.parseFloat(weight));
            }
          }
        }
        if (at.containsKey("level") != at.containsKey("retry")) {
          faults.add("no pair: " + words);
        } else if (at.containsKey("level")) {
          holding.level = Float.parseFloat(at.get("level"));
          holding.retry = Integer.parseInt(at.get("retry"));
        }
      }
      if (at.containsKey("out")) {
        out.addAll(List.of(at.get("out").split(",")));
      }
      if (at.containsKey("back")) {
        out.removeAll(List.of(at.get("back").split(",")));
      }
      if (at.containsKey("ticket")) {
        tickets.add(Integer.parseInt(at.get("ticket")));
      }
      parts++;
      if (parts > 64) {
        faults.add("over 64 parts");
      }
      if (!at.containsKey("more")) {
        parts = 0;
        messages++;
      }
    }

    /** What a class may be sent to: its lines without those shut out. */
    public synchronized Map<String, Float> open(String grade) {
      Map<String, Float> open = new TreeMap<>(by.get(grade).lines);
      open.keySet().removeAll(out);
      return open;
    }
  }

  /** A proxy's stream. */
  static final class ProxyClient extends RespClient {
    final AppliedUpdates held;

    ProxyClient(InetSocketAddress to, AppliedUpdates held) throws IOException {
      super(to);
      this.held = held;
      reading();
    }

    @Override
    void message(List<String> words) {
      held.update(words);
    }
  }

  /** A call that came to an HTTP stand-in. */
  public record Request(String path, Socket socket) {
    public void write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
      socket.getOutputStream().flush();
    }

    public void answer(int status, String body) throws IOException {
      write("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    public void beginWatch() throws IOException {
      write(
          "HTTP/1.1 200 OK\r\n"
              + "Content-Type: application/json\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n");
    }

    /** A line of a watch, as a chunk of its own. */
    public void line(String text) throws IOException {
      write(Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n");
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  /** Discovery or a server: it takes calls and leaves the answers to the test. */
  public static final class HttpStub implements AutoCloseable {
    private final ServerSocket server;
    final LinkedBlockingQueue<Request> calls = new LinkedBlockingQueue<>();
    final List<Socket> open = new CopyOnWriteArrayList<>();

    public HttpStub() throws IOException {
      server = new ServerSocket(0, 50, java.net.InetAddress.getLoopbackAddress());
      Thread taker =
          new Thread(
              () -> {
                try {
                  while (true) {
                    Socket one = server.accept();
                    open.add(one);
                    ByteArrayOutputStream head = new ByteArrayOutputStream();
                    while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                      int b = one.getInputStream().read();
                      if (b < 0) {
                        break;
                      }
                      head.write(b);
                    }
                    String text = head.toString(StandardCharsets.ISO_8859_1);
                    if (text.startsWith("GET ") && text.contains("\r\nHost: ")) {
                      calls.add(new Request(text.split(" ")[1], one));
                    }
                  }
                } catch (IOException closed) {
                  return;
                }
              });
      taker.setDaemon(true);
      taker.start();
    }

    public String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    public Request next() throws InterruptedException {
      Request out = calls.poll(20, java.util.concurrent.TimeUnit.SECONDS);
      if (out == null) {
        fail("no call came");
      }
      return out;
    }

    @Override
    public void close() throws IOException {
      server.close();
      for (Socket one : open) {
        one.close();
      }
    }
  }

  public static String instance(
      String id, String address, String zone, String lifecycle, long startedAtMs) {
    return "{\"instanceId\":\""
        + id
        + "\",\"hostPort\":\""
        + address
        + "\",\"zone\":\""
        + zone
        + "\",\"machineType\":\"small\",\"cell\":0,\"lifecycle\":\""
        + lifecycle
        + "\",\"weight\":1.0,\"startedAtMs\":"
        + startedAtMs
        + "}";
  }

  public static String listing(long generation, boolean reset, String... instances) {
    return "{\"generation\":"
        + generation
        + ",\"reset\":"
        + reset
        + ",\"instances\":["
        + String.join(",", instances)
        + "]}";
  }

  /** A whole text as the reader of lists takes it. */
  public static EndpointList read(String text, WireNames names) throws SettingsException {
    EndpointListReader reader = new EndpointListReader(names, EndpointListLimits.ofThisProcess());
    reader.feed(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    return reader.endOfBody();
  }
}
