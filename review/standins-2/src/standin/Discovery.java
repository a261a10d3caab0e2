package standin;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Discovery: the versioned list of servers, polled as a whole or watched. It remembers terminated
 * servers, so that the first line of a watch tells what changed after the version asked for. For
 * each server it keeps when the assigner was told of the entry in force: when the line was written.
 */
final class Discovery implements AutoCloseable {
  private static final long HEARTBEAT_MS = 2000;
  private static final long TOLD_AT_LATEST_US = 6_000_000;

  private final Settings settings;
  private final Record record;
  private final ServerSocket listening;
  private final Map<String, Server> servers = new TreeMap<>();
  private final List<Watch> watches = new ArrayList<>();

  /** When the assigner was first told that a server is draining or gone, by server. */
  private final Map<String, Long> toldNotReadyUs = new HashMap<>();

  /** Servers that the assigner was told of as ready, with the start time told. */
  private final Map<String, Long> toldReady = new HashMap<>();

  private long generation = 41;
  private boolean silent;

  private final class Watch {
    final OutputStream out;
    long lastWriteNs = System.nanoTime();
    boolean failed;

    Watch(OutputStream out) {
      this.out = out;
    }

    void write(String line) {
      byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
      try {
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
        lastWriteNs = System.nanoTime();
      } catch (IOException e) {
        failed = true;
      }
    }
  }

  Discovery(Settings settings, Record record) throws IOException {
    this.settings = settings;
    this.record = record;
    listening = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    Threads.start("discovery", this::acceptAll);
    Threads.start("discovery-heartbeat", this::sendHeartbeats);
  }

  int port() {
    return listening.getLocalPort();
  }

  /** Adds a server that started long ago, without telling anyone. */
  synchronized Server addInitial(String id, int zone) {
    Server server = new Server(id, zone, generation);
    servers.put(id, server);
    toldReady.put(id, server.startedUs);
    return server;
  }

  /** Adds a server that has just started, or starts a server again under its id. */
  synchronized Server start(String id, int zone) {
    Server server = servers.computeIfAbsent(id, absent -> new Server(id, zone, generation));
    server.startedAtMs = System.currentTimeMillis();
    server.startedUs = record.nowUs();
    change(List.of(server), Server.READY);
    return server;
  }

  /** Changes the lifecycle of servers, as one change of the list. */
  synchronized void change(List<Server> changed, String lifecycle) {
    generation++;
    for (Server server : changed) {
      server.lifecycle = lifecycle;
      server.generation = generation;
    }
    String line = list(false, changed);
    record.line("discovery: generation %d, %s: %s", generation, lifecycle, names(changed));
    for (Watch watch : watches) {
      watch.write(line);
      noteTold(changed);
    }
    watches.removeIf(watch -> watch.failed);
  }

  private static String names(List<Server> list) {
    StringBuilder text = new StringBuilder();
    list.forEach(server -> text.append(server.id).append(' '));
    return text.toString().trim();
  }

  private void noteTold(Iterable<Server> told) {
    for (Server server : told) {
      if (server.isReady()) {
        toldNotReadyUs.remove(server.id);
        toldReady.put(server.id, server.startedUs);
      } else {
        toldReady.remove(server.id);
        long arrivalUs = record.nowUs() + (silent ? TOLD_AT_LATEST_US : 0);
        toldNotReadyUs.merge(server.id, arrivalUs, Math::min);
      }
    }
  }

  /** Sets whether what is written does not arrive; it counts as told 6 s later at the latest. */
  synchronized void setSilent(boolean isSilent) {
    silent = isSilent;
  }

  /** Returns when the assigner was told that the server is draining or gone; null if it was not. */
  synchronized Long toldNotReady(String id) {
    return toldNotReadyUs.get(id);
  }

  /** Returns whether the assigner was told of a warm ready server, in a zone or, if below 0, any. */
  synchronized boolean hasToldWarm(int zone, long nowUs) {
    for (Map.Entry<String, Long> entry : toldReady.entrySet()) {
      boolean warm = entry.getValue() < 0 || nowUs - entry.getValue() >= settings.rampTimeUs;
      if (warm && (zone < 0 || servers.get(entry.getKey()).zone == zone)) {
        return true;
      }
    }
    return false;
  }

  synchronized Server server(String id) {
    return servers.get(id);
  }

  synchronized List<Server> ready() {
    return servers.values().stream().filter(Server::isReady).toList();
  }

  /** Returns the complete list in discovery's form. */
  synchronized String completeList() {
    return list(
        true, servers.values().stream().filter(s -> !s.lifecycle.equals(Server.REMOVED)).toList());
  }

  private String list(boolean complete, List<Server> entries) {
    StringBuilder text = new StringBuilder();
    text.append("{\"generation\":").append(generation).append(",\"reset\":").append(complete);
    text.append(",\"instances\":[");
    for (int k = 0; k < entries.size(); k++) {
      text.append(k > 0 ? "," : "").append(entries.get(k).json(settings));
    }
    return text.append("]}").toString();
  }

  private void acceptAll() throws IOException {
    while (true) {
      Socket socket = listening.accept();
      socket.setTcpNoDelay(true);
      Threads.start("discovery-call", () -> answer(socket));
    }
  }

  private void answer(Socket socket) throws IOException {
    BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    String request = in.readLine();
    for (String line = request; line != null && !line.isEmpty(); ) {
      line = in.readLine();
    }
    if (request == null) {
      socket.close();
      return;
    }
    record.line("discovery: call %s", request);
    OutputStream out = socket.getOutputStream();
    int since = request.indexOf("since=");
    if (since < 0) {
      byte[] body = completeList().getBytes(StandardCharsets.UTF_8);
      out.write(head("Content-Length: " + body.length));
      out.write(body);
      socket.close();
      return;
    }
    String number = request.substring(since + "since=".length()).split("[ &]")[0];
    out.write(head("Transfer-Encoding: chunked"));
    watch(out, Long.parseLong(number));
    while (in.read() >= 0) {
      // A watch lasts until its connection ends.
    }
    socket.close();
  }

  private static byte[] head(String field) {
    return ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + field + "\r\n\r\n")
        .getBytes(StandardCharsets.US_ASCII);
  }

  private synchronized void watch(OutputStream out, long since) {
    Watch watch = new Watch(out);
    if (since <= 0) {
      watch.write(completeList());
      noteTold(servers.values());
    } else {
      List<Server> changed =
          servers.values().stream().filter(server -> server.generation > since).toList();
      watch.write(list(false, changed));
      record.line("discovery: watch since %d begins with: %s", since, names(changed));
      noteTold(changed);
    }
    watches.add(watch);
  }

  private void sendHeartbeats() throws InterruptedException {
    while (true) {
      Thread.sleep(50);
      synchronized (this) {
        for (Watch watch : watches) {
          if (System.nanoTime() - watch.lastWriteNs >= HEARTBEAT_MS * 1_000_000) {
            watch.write("");
          }
        }
        watches.removeIf(watch -> watch.failed);
      }
    }
  }

  /** Returns the time since a line was last written to a watch, in microseconds. */
  synchronized long sinceLastLineUs() {
    return watches.stream()
        .mapToLong(watch -> (System.nanoTime() - watch.lastWriteNs) / 1000)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  @Override
  public void close() throws IOException {
    listening.close();
  }
}
