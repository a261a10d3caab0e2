import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Rule 3 over a restart of the assigner with an old list: tasks that the old list lacks, that the
 * proxies have in their tables, and that are gone when the assigner is back.
 */
public final class RemovedServer {
  private static final int PROXIES = 12;
  private static final int TASKS = 18;
  private static final double DRAIN_GRACE_MS = 1500;
  private static final double SOCKET_SLACK_MS = 300;
  private static final double AFTER_READY_MS = 1000;

  private RemovedServer() {}

  public static void main(String[] args) {
    Rig.exitWith(() -> isBroken(Path.of(args[0]), Path.of(args[1])));
  }

  private static boolean isBroken(Path root, Path folder) throws Exception {
    List<String> zones = List.of("ergue", "kerfeunteun", "penhars", "moulin-vert");
    List<String> classes = List.of("lecture-tournee", "saisie-livraison");
    int broken = 0;
    try (Rig rig = new Rig(root, folder, zones, classes)) {
      rig.isShare = true;
      List<Task> first = new ArrayList<>();
      for (int k = 0; k < TASKS; k++) {
        Task task = rig.task("s-" + k, zones.get(k % zones.size()), k / 4, 0);
        first.add(task);
        rig.discovery.initial(task);
      }
      String known = rig.discovery.list();
      String settings = Settings.repas(zones, PROXIES, 200, false);
      for (int k = 0; k < PROXIES; k++) {
        String zone = zones.get(k % zones.size());
        List<Task> standing =
            first.stream().filter(task -> task.zone.equals(zone)).limit(5).toList();
        rig.proxies.add(new Proxy(rig, k, zone, 200.0 / PROXIES, 3, standing));
      }
      rig.assigner.start(rig.config(known, settings));
      rig.startClients();
      Proxy.sleep(2000);
      Task[] later = {
        rig.task("s-new-1", zones.get(0), 9, System.currentTimeMillis()),
        rig.task("s-new-2", zones.get(1), 9, System.currentTimeMillis())
      };
      rig.discovery.change("in_service", later);
      Proxy.sleep(24000);
      for (Task task : later) {
        Rig.require(task.ran.get() > 0, task.id + " got no request before the restart");
      }
      if (rig.trouble) {
        rig.discovery.forgetTold();
        rig.assigner.kill();
        Proxy.sleep(300);
      }
      rig.discovery.change("terminating", later);
      Proxy.sleep(2000);
      Discovery.daemon(
          () -> {
            rig.discovery.change("terminated", later);
            Proxy.sleep(300);
            for (Task task : later) {
              task.stop();
            }
          });
      if (rig.trouble) {
        rig.assigner.start(rig.config(known, settings));
      }
      Proxy.sleep(10000);
      Rig.require(rig.assigner.isAlive(), "the assigner has ended");
      for (Task task : later) {
        Rig.require(
            rig.discovery.toldMs(task.id, "terminated") < Double.MAX_VALUE,
            task.id + " was not told as terminated");
      }
      double readyMs = rig.assigner.readyMs;
      for (Proxy proxy : rig.proxies) {
        for (Task task : later) {
          double toldMs =
              Math.min(
                  rig.discovery.toldMs(task.id, "terminating"),
                  rig.discovery.toldMs(task.id, "terminated"));
          double limitMs =
              Math.max(Math.max(toldMs, proxy.joinedMs), readyMs + AFTER_READY_MS)
                  + DRAIN_GRACE_MS
                  + SOCKET_SLACK_MS;
          for (Proxy.Send send : proxy.sends()) {
            if (send.task().equals(task.id) && send.ms() > limitMs) {
              broken++;
              rig.record.say(
                  String.format(
                      "rule 3 broken: proxy %d sent to %s %.0f ms after the limit (told at %.0f,"
                          + " joined at %.0f, ready at %.0f)",
                      proxy.number, task.id, send.ms() - limitMs, toldMs, proxy.joinedMs, readyMs));
            }
          }
        }
      }
      int sends = rig.proxies.stream().mapToInt(proxy -> proxy.sends().size()).sum();
      rig.record.say("requests sent " + sends + ", of them against rule 3: " + broken);
    }
    return broken > 0;
  }
}
