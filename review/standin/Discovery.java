import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Discovery: the complete list, and watches with changes and an empty line every 2 s. */
final class Discovery implements AutoCloseable {
  private static final Pattern SINCE = Pattern.compile("since=(\\d+)");
  private static final int HEARTBEAT_MS = 2000;

  private record Change(long generation, String id, String entry) {}

  private final ServerSocket listening;
  private final Record record;
  private final Map<String, String> current = new LinkedHashMap<>();
  private final List<Change> changes = new ArrayList<>();

  /** When an entry with this lifecycle was first written on a watch, by id and lifecycle. */
  private final Map<String, Double> toldMs = new LinkedHashMap<>();

  private long generation;

  Discovery(Record record, long generation) throws IOException {
    this.record = record;
    this.generation = generation;
    listening = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    daemon(this::accept);
  }

  static void daemon(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + listening.getLocalPort();
  }

  /** Lists a task without a change of the generation; only before the start. */
  synchronized void initial(Task task) {
    current.put(task.id, task.entry("in_service"));
  }

  /** Changes the lifecycles of tasks, as one new version of the list. */
  synchronized void change(String lifecycle, Task... tasks) {
    generation++;
    for (Task task : tasks) {
      String entry = task.entry(lifecycle);
      if (lifecycle.equals("terminated")) {
        current.remove(task.id);
      } else {
        current.put(task.id, entry);
      }
      changes.add(new Change(generation, task.id, entry));
      record.line("list generation " + generation + ": " + task.id + " " + lifecycle);
    }
    notifyAll();
  }

  /** Returns the complete list. */
  synchronized String list() {
    return object(true, new ArrayList<>(current.values()));
  }

  private String object(boolean complete, List<String> entries) {
    return "{\"generation\":"
        + generation
        + ",\"reset\":"
        + complete
        + ",\"instances\":["
        + String.join(",", entries)
        + "]}";
  }

  /** Forgets what was written to an earlier process. */
  synchronized void forgetTold() {
    toldMs.clear();
  }

  /** Returns when a lifecycle was first written on a watch, in milliseconds of the record. */
  synchronized double toldMs(String id, String lifecycle) {
    return toldMs.getOrDefault(id + " " + lifecycle, Double.MAX_VALUE);
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listening.accept();
        daemon(() -> serve(socket));
      }
    } catch (IOException e) {
      record.line("discovery ends");
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String request = in.readLine();
      for (String header = in.readLine();
          header != null && !header.isEmpty();
          header = in.readLine()) {}
      record.line("discovery is asked: " + request);
      OutputStream out = socket.getOutputStream();
      if (request != null && request.contains("follow=1")) {
        Matcher since = SINCE.matcher(request);
        watch(out, since.find() ? Long.parseLong(since.group(1)) : 0);
      } else {
        byte[] body = list().getBytes(StandardCharsets.UTF_8);
        out.write(
            ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length
                    + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        out.write(body);
      }
    } catch (IOException e) {
      record.line("a call to discovery ended: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void watch(OutputStream out, long since) throws IOException, InterruptedException {
    out.write(
        ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
    long written = since;
    boolean isFirst = true;
    while (true) {
      String line;
      synchronized (this) {
        long deadlineNs = System.nanoTime() + HEARTBEAT_MS * 1_000_000L;
        long waitMs = HEARTBEAT_MS;
        while (!isFirst && generation == written && waitMs > 0) {
          wait(waitMs);
          waitMs = (deadlineNs - System.nanoTime()) / 1_000_000;
        }
        line = isFirst || generation != written ? nextObject(written) : "";
        written = generation;
        isFirst = false;
      }
      byte[] text = (line + "\n").getBytes(StandardCharsets.UTF_8);
      byte[] head = (Integer.toHexString(text.length) + "\r\n").getBytes();
      byte[] chunk = new byte[head.length + text.length + 2];
      System.arraycopy(head, 0, chunk, 0, head.length);
      System.arraycopy(text, 0, chunk, head.length, text.length);
      chunk[chunk.length - 2] = '\r';
      chunk[chunk.length - 1] = '\n';
      out.write(chunk);
      out.flush();
      if (!line.isEmpty()) {
        record.line("discovery wrote: " + line);
        noteTold(line);
      }
    }
  }

  /** Returns what changed after a version; the whole list if the version is unknown. */
  private String nextObject(long since) {
    if (since > generation || since == 0) {
      return object(true, new ArrayList<>(current.values()));
    }
    Map<String, String> changed = new LinkedHashMap<>();
    for (Change change : changes) {
      if (change.generation() > since) {
        changed.put(change.id(), change.entry());
      }
    }
    return object(false, new ArrayList<>(changed.values()));
  }

  private synchronized void noteTold(String line) {
    Matcher entry =
        Pattern.compile("\"instanceId\":\"([^\"]+)\"[^}]*\"lifecycle\":\"([^\"]+)\"").matcher(line);
    while (entry.find()) {
      toldMs.putIfAbsent(entry.group(1) + " " + entry.group(2), record.nowMs());
    }
  }

  @Override
  public void close() throws IOException {
    listening.close();
  }
}
