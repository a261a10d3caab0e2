package pearusher.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * A model of a fleet of the target's size, in which tasks and requests are distributed unevenly
 * over services, regions and zones. Deterministic for a seed.
 */
final class FleetModel {
  /** Two tasks, so that one can restart while the other serves. */
  static final int MIN_TASKS_PER_SERVICE = 2;

  /** The number of tasks of a service per region that it uses. */
  private static final double TASKS_PER_REGION = 8;

  /** The relative weights of a region's zones. */
  private static final double[] ZONE_WEIGHTS = {1, 0.85, 0.7, 0.55};

  /**
   * Parameters for which the target specifies no figure: Zipf exponents and the requests per second
   * of a proxy.
   */
  record Skew(double tasks, double requests, double regions, double requestsPerProxy, long seed) {
    static final Skew ASSUMED = new Skew(0.9, 1.0, 0.7, 21.5, 1);
  }

  record Zone(int region, double weight) {}

  /** A service; the arrays are indexed by zone. */
  record Service(
      int rank, int tasks, int[] tasksByZone, double[] requestsByZone, int[] proxiesByZone) {
    double requests() {
      return Arrays.stream(requestsByZone).sum();
    }

    int proxies() {
      return Arrays.stream(proxiesByZone).sum();
    }
  }

  private final Skew skew;
  private final List<Zone> zones = new ArrayList<>();
  private final List<Service> services = new ArrayList<>();

  FleetModel(Skew skew) {
    this.skew = skew;
    SplittableRandom random = new SplittableRandom(skew.seed());
    createZones();
    int[] tasks =
        Apportionment.split(
            CapacityTarget.TASKS,
            Apportionment.zipf(CapacityTarget.SERVICES, skew.tasks()),
            MIN_TASKS_PER_SERVICE);
    double[] requests = requestsByService(random);
    for (int rank = 0; rank < CapacityTarget.SERVICES; rank++) {
      services.add(createService(rank, tasks[rank], requests[rank], random));
    }
  }

  List<Zone> zones() {
    return zones;
  }

  List<Service> services() {
    return services;
  }

  /**
   * Creates 98 zones in 25 regions: three in each of the two smallest regions, four in each other
   * region.
   */
  private void createZones() {
    double[] regionWeights = Apportionment.zipf(CapacityTarget.REGIONS, skew.regions());
    int regionsWithThreeZones = CapacityTarget.REGIONS * ZONE_WEIGHTS.length - CapacityTarget.ZONES;
    for (int region = 0; region < CapacityTarget.REGIONS; region++) {
      int count =
          ZONE_WEIGHTS.length - (region >= CapacityTarget.REGIONS - regionsWithThreeZones ? 1 : 0);
      double sum = Arrays.stream(ZONE_WEIGHTS, 0, count).sum();
      for (int k = 0; k < count; k++) {
        zones.add(new Zone(region, regionWeights[region] * ZONE_WEIGHTS[k] / sum));
      }
    }
  }

  /**
   * Returns the requests per second of each service: Zipf's law, times a random factor between a
   * half and two, so that the service with the most tasks need not be the busiest.
   */
  private double[] requestsByService(SplittableRandom random) {
    double[] requests = Apportionment.zipf(CapacityTarget.SERVICES, skew.requests());
    double sum = 0;
    for (int k = 0; k < requests.length; k++) {
      requests[k] *= Math.pow(2, 2 * random.nextDouble() - 1);
      sum += requests[k];
    }
    for (int k = 0; k < requests.length; k++) {
      requests[k] *= CapacityTarget.REQUESTS_PER_SECOND / sum;
    }
    return requests;
  }

  private Service createService(int rank, int tasks, double requests, SplittableRandom random) {
    boolean[] chosen = drawRegions(tasks, random);
    int[] serviceZones =
        IntStream.range(0, zones.size()).filter(z -> chosen[zones.get(z).region()]).toArray();
    double[] weights =
        Arrays.stream(serviceZones).mapToDouble(z -> zones.get(z).weight()).toArray();
    double sum = Arrays.stream(weights).sum();
    int[] zoneTasks = Apportionment.split(tasks, weights, 0);
    int[] tasksByZone = new int[zones.size()];
    double[] requestsByZone = new double[zones.size()];
    int[] proxiesByZone = new int[zones.size()];
    for (int k = 0; k < serviceZones.length; k++) {
      tasksByZone[serviceZones[k]] = zoneTasks[k];
      requestsByZone[serviceZones[k]] = requests * weights[k] / sum;
      proxiesByZone[serviceZones[k]] =
          (int) Math.ceil(requestsByZone[serviceZones[k]] / skew.requestsPerProxy());
    }
    return new Service(rank, tasks, tasksByZone, requestsByZone, proxiesByZone);
  }

  /** Draws regions by weight without replacement (the keys of Efraimidis and Spirakis). */
  private boolean[] drawRegions(int tasks, SplittableRandom random) {
    int count =
        (int) Math.max(1, Math.min(CapacityTarget.REGIONS, Math.round(tasks / TASKS_PER_REGION)));
    double[] weights = Apportionment.zipf(CapacityTarget.REGIONS, skew.regions());
    double[] keys = Arrays.stream(weights).map(w -> Math.pow(random.nextDouble(), 1 / w)).toArray();
    boolean[] chosen = new boolean[CapacityTarget.REGIONS];
    IntStream.range(0, keys.length)
        .boxed()
        .sorted(Comparator.comparingDouble(r -> -keys[r]))
        .limit(count)
        .forEach(r -> chosen[r] = true);
    return chosen;
  }
}
