package pearusher.capacity;

import java.util.Arrays;
import java.util.List;

/**
 * Prints the size of a {@link FleetModel} and the distributions over its services, zones and
 * regions.
 */
final class FleetReport {
  private final FleetModel fleet;
  private final List<FleetModel.Service> services;

  FleetReport(FleetModel fleet) {
    this.fleet = fleet;
    services = fleet.services();
  }

  void print() {
    printTotals();
    printServices();
    printZonesAndRegions();
  }

  private void printTotals() {
    int tasks = services.stream().mapToInt(FleetModel.Service::tasks).sum();
    double requestsPerSecond = services.stream().mapToDouble(FleetModel.Service::requests).sum();
    int proxies = services.stream().mapToInt(FleetModel.Service::proxies).sum();
    Figures.print("fleet.services", services.size(), "services");
    Figures.print("fleet.zones", fleet.zones().size(), "zones");
    Figures.print("fleet.tasks", tasks, "tasks");
    Figures.print("fleet.requests", requestsPerSecond, "/s");
    Figures.print("fleet.proxies", proxies, "proxies");
  }

  private void printServices() {
    Figures.printSpread("fleet.service.tasks", services, FleetModel.Service::tasks, "tasks");
    Figures.printSpread("fleet.service.requests", services, FleetModel.Service::requests, "/s");
    Figures.printSpread(
        "fleet.service.zones",
        services,
        service -> Arrays.stream(service.proxiesByZone()).filter(count -> count > 0).count(),
        "zones");
  }

  private void printZonesAndRegions() {
    double[] tasksByZone = new double[fleet.zones().size()];
    double[] tasksByRegion = new double[CapacityTarget.REGIONS];
    for (FleetModel.Service service : services) {
      for (int zone = 0; zone < tasksByZone.length; zone++) {
        tasksByZone[zone] += service.tasksByZone()[zone];
        tasksByRegion[fleet.zones().get(zone).region()] += service.tasksByZone()[zone];
      }
    }
    printTasks("fleet.zone.tasks", tasksByZone);
    printTasks("fleet.region.tasks", tasksByRegion);
  }

  private static void printTasks(String name, double[] tasks) {
    List<Double> counts = Arrays.stream(tasks).boxed().toList();
    Figures.printSpread(name, counts, Double::doubleValue, "tasks");
  }
}
