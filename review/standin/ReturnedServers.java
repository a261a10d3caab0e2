import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Rule 1 over a planned restart of the assigner: the tasks of one zone are taken out of service,
 * the assigner is restarted, and the tasks return under their ids.
 */
public final class ReturnedServers {
  private static final int PROXIES = 12;
  private static final int TASKS = 24;
  private static final int TRANSIT_MS = 300;
  private static final double EMPTY_FOR_MS = 3100;
  private static final double SOCKET_SLACK_MS = 300;
  private static final int GONE_MS = 5000;
  private static final double RAMP_MS = 17000;
  private static final String OWN_ZONE_CLASS = "lecture-tournee";

  private ReturnedServers() {}

  public static void main(String[] args) {
    Rig.exitWith(() -> isBroken(Path.of(args[0]), Path.of(args[1])));
  }

  private static boolean isBroken(Path root, Path folder) throws Exception {
    List<String> zones = List.of("ergue", "kerfeunteun", "penhars", "moulin-vert");
    List<String> classes = List.of(OWN_ZONE_CLASS, "saisie-livraison");
    int broken = 0;
    try (Rig rig = new Rig(root, folder, zones, classes)) {
      rig.isShare = true;
      rig.transitMs = TRANSIT_MS;
      rig.ownZoneClasses = List.of(OWN_ZONE_CLASS);
      List<Task> tasks = new ArrayList<>();
      for (int k = 0; k < TASKS; k++) {
        Task task = rig.task("s-" + k, zones.get(k % zones.size()), k / 4, 0);
        tasks.add(task);
        rig.discovery.initial(task);
      }
      String settings = Settings.repas(zones, PROXIES, TRANSIT_MS, true);
      for (int k = 0; k < PROXIES; k++) {
        String zone = zones.get(k % zones.size());
        List<Task> standing =
            tasks.stream().filter(task -> task.zone.equals(zone)).limit(5).toList();
        rig.proxies.add(new Proxy(rig, k, zone, 200.0 / PROXIES, 3, standing));
      }
      rig.assigner.start(rig.config(rig.discovery.list(), settings));
      rig.startClients();
      Proxy.sleep(8000);
      Task[] lost = tasks.stream().filter(task -> task.zone.equals("ergue")).toArray(Task[]::new);
      rig.discovery.change("terminating", lost);
      Proxy.sleep(3000);
      rig.discovery.change("terminated", lost);
      for (Task task : lost) {
        task.stop();
      }
      double goneMs = rig.record.nowMs();
      Proxy.sleep(500);
      if (rig.trouble) {
        String known = rig.discovery.list();
        rig.assigner.terminate();
        Proxy.sleep(700);
        rig.assigner.start(rig.config(known, settings));
      }
      Proxy.sleep((long) Math.max(100, goneMs + GONE_MS - rig.record.nowMs()));
      for (Task task : lost) {
        task.restart();
      }
      Proxy.sleep(500);
      rig.discovery.change("in_service", lost);
      double warmMs = rig.record.nowMs() + RAMP_MS;
      Proxy.sleep((long) (RAMP_MS + EMPTY_FOR_MS + SOCKET_SLACK_MS + 3000));
      Rig.require(rig.assigner.isAlive(), "the assigner has ended");
      double endMs = rig.record.nowMs();
      for (Proxy proxy : rig.proxies) {
        for (String requestClass : classes) {
          double sinceMs = Double.MAX_VALUE;
          double longestMs = 0;
          for (Proxy.Bare change : proxy.bareTimes()) {
            if (change.requestClass().equals(requestClass)) {
              if (change.isBare()) {
                sinceMs = Math.max(warmMs, change.ms());
              } else {
                longestMs = Math.max(longestMs, change.ms() - sinceMs);
                sinceMs = Double.MAX_VALUE;
              }
            }
          }
          longestMs = Math.max(longestMs, endMs - sinceMs);
          if (longestMs > EMPTY_FOR_MS + SOCKET_SLACK_MS) {
            broken++;
            rig.record.say(
                String.format(
                    "rule 1 broken: proxy %d of %s had no line for %s for %.0f ms while %d warm"
                        + " tasks of its zone were listed as in service",
                    proxy.number, proxy.zone, requestClass, longestMs, lost.length));
          }
        }
      }
      rig.record.say("classes of proxies left without a task: " + broken);
    }
    return broken > 0;
  }
}
