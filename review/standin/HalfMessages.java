import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Bad clients: some hundreds connect, send half a message, and say nothing more. */
public final class HalfMessages {
  private static final int PROXIES = 12;
  private static final int TASKS = 20;
  private static final int BAD_CLIENTS = Integer.getInteger("clients", 800);

  /** Bytes that each bad client sends; a message may have 1 MiB. */
  private static final int BYTES = 8000;

  private HalfMessages() {}

  private static byte[] halfMessage() {
    StringBuilder text = new StringBuilder("*5000\r\n");
    while (text.length() + 7 <= BYTES) {
      text.append("$1\r\nx\r\n");
    }
    return text.toString().getBytes(StandardCharsets.US_ASCII);
  }

  public static void main(String[] args) {
    Rig.exitWith(() -> isBroken(Path.of(args[0]), Path.of(args[1])));
  }

  private static boolean isBroken(Path root, Path folder) throws Exception {
    List<String> zones = List.of("ergue", "kerfeunteun", "penhars", "moulin-vert");
    List<String> classes = List.of("lecture-tournee", "saisie-livraison");
    boolean isBroken;
    try (Rig rig = new Rig(root, folder, zones, classes)) {
      rig.isShare = true;
      List<Task> tasks = new ArrayList<>();
      for (int k = 0; k < TASKS; k++) {
        Task task = rig.task("s-" + k, zones.get(k % zones.size()), k / 4, 0);
        tasks.add(task);
        rig.discovery.initial(task);
      }
      for (int k = 0; k < PROXIES; k++) {
        String zone = zones.get(k % zones.size());
        List<Task> standing =
            tasks.stream().filter(task -> task.zone.equals(zone)).limit(5).toList();
        rig.proxies.add(new Proxy(rig, k, zone, 200.0 / PROXIES, 3, standing));
      }
      rig.assigner.start(
          rig.config(rig.discovery.list(), Settings.repas(zones, PROXIES, 200, false)));
      rig.startClients();
      Proxy.sleep(6000);
      List<Socket> badClients = new ArrayList<>();
      int[] closed = new int[1];
      if (rig.trouble) {
        byte[] half = halfMessage();
        for (int k = 0; k < BAD_CLIENTS && rig.assigner.isAlive(); k++) {
          try {
            Socket socket = new Socket();
            badClients.add(socket);
            socket.connect(new InetSocketAddress("127.0.0.1", rig.assigner.port), 1000);
            socket.getOutputStream().write(half);
            Discovery.daemon(() -> awaitClose(socket, closed));
          } catch (IOException e) {
            rig.record.line("a bad client failed: " + e.getMessage());
          }
        }
        rig.record.say(
            badClients.size() + " bad clients sent " + half.length + " bytes of a message each");
      }
      double startMs = rig.record.nowMs();
      while (rig.record.nowMs() - startMs < 6000 && rig.assigner.isAlive()) {
        Proxy.sleep(20);
      }
      boolean isAlive = rig.assigner.isAlive();
      boolean answers = isAlive && rig.assigner.ping(2000);
      isBroken = !isAlive || !answers;
      if (isAlive) {
        rig.record.say("the assigner runs, and answers a ping: " + answers);
        if (rig.trouble) {
          rig.record.say("bad clients closed after 6 s: " + closed[0]);
        }
      } else {
        rig.record.say(
            String.format(
                "crash: the assigner ended with status %d, %.0f ms after the last bad client",
                rig.assigner.exitStatus(), rig.record.nowMs() - startMs));
        Proxy.sleep(500);
        for (Proxy proxy : rig.proxies) {
          boolean hasStream = proxy.joinedMs != Double.MAX_VALUE;
          rig.record.line(
              "proxy " + proxy.number + (hasStream ? " has" : " has lost") + " its stream");
        }
      }
      for (Socket socket : badClients) {
        socket.close();
      }
    }
    return isBroken;
  }

  private static void awaitClose(Socket socket, int[] closed) {
    try {
      InputStream in = socket.getInputStream();
      while (in.read() >= 0) {}
    } catch (IOException e) {
      // A reset is a close as well.
    }
    synchronized (closed) {
      closed[0]++;
    }
  }
}
