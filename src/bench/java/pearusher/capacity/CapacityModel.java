package pearusher.capacity;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import pearusher.server.MessageSizes;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Prints what docs/CAPACITY.md derives, {@code name value unit} a line. Run from the project's
 * root.
 */
@Command(
    name = "capacity",
    mixinStandardHelpOptions = true,
    description = "Derives what each role is asked at the target's size.")
final class CapacityModel implements Callable<Integer> {
  @Option(names = "--seed", description = "of the fleet (${DEFAULT-VALUE})")
  private long seed = FleetModel.Skew.ASSUMED.seed();

  @Option(
      names = "--tasks-skew",
      description = "Zipf's exponent of tasks a service (${DEFAULT-VALUE})")
  private double tasksSkew = FleetModel.Skew.ASSUMED.tasks();

  @Option(names = "--requests-skew", description = "of requests a service (${DEFAULT-VALUE})")
  private double requestsSkew = FleetModel.Skew.ASSUMED.requests();

  @Option(names = "--regions-skew", description = "of regions (${DEFAULT-VALUE})")
  private double regionsSkew = FleetModel.Skew.ASSUMED.regions();

  @Option(names = "--requests-per-proxy", description = "requests/s, at most (${DEFAULT-VALUE})")
  private double requestsPerProxy = FleetModel.Skew.ASSUMED.requestsPerProxy();

  @Option(names = "--map", description = "only these (${COMPLETION-CANDIDATES}; all)")
  private List<TierMap> maps = List.of(TierMap.values());

  public static void main(String[] args) {
    System.exit(new CommandLine(new CapacityModel()).execute(args));
  }

  @Override
  public Integer call() throws Exception {
    MessageSizes sizes = MessageSizes.measure();
    FleetModel fleet =
        new FleetModel(
            new FleetModel.Skew(tasksSkew, requestsSkew, regionsSkew, requestsPerProxy, seed));
    printSizes(sizes);
    printFleet(fleet);
    for (TierMap map : maps) {
      printMap(map, fleet, sizes);
      new Scenarios(map, fleet, sizes).print();
    }
    return 0;
  }

  static void print(String name, double value, String unit) {
    String text = value >= 100 || value == Math.rint(value) ? "%.0f" : "%.3g";
    System.out.println(name + " " + String.format(Locale.ROOT, text, value) + " " + unit);
  }

  private static void printSizes(MessageSizes sizes) {
    print("size.heard", sizes.loadReport(), "bytes");
    print("size.heard_without_load", sizes.loadReportWithoutLoad(), "bytes");
    print("size.usage", sizes.usageReport(), "bytes");
    print("size.joined", sizes.proxyJoin(), "bytes");
    print("size.applied", sizes.acknowledgement(), "bytes");
    print("size.list_entry", sizes.listEntry(), "bytes");
    print("size.table_line", sizes.weightEntry(), "bytes");
    print("size.update_head", sizes.updateOverhead(), "bytes");
    print("size.probe_request", sizes.healthCheckRequest(), "bytes");
    print("size.probe_answer", sizes.healthCheckResponse(), "bytes");
  }

  private static void printFleet(FleetModel fleet) {
    List<FleetModel.Service> services = fleet.services();
    print("fleet.services", services.size(), "services");
    print("fleet.zones", fleet.zones().size(), "zones");
    print("fleet.tasks", services.stream().mapToInt(FleetModel.Service::tasks).sum(), "tasks");
    print(
        "fleet.requests", services.stream().mapToDouble(FleetModel.Service::requests).sum(), "/s");
    print(
        "fleet.proxies", services.stream().mapToInt(FleetModel.Service::proxies).sum(), "proxies");
    spread("fleet.service.tasks", services, s -> s.tasks(), s -> 1, "tasks");
    spread("fleet.service.requests", services, FleetModel.Service::requests, s -> 1, "/s");
    spread(
        "fleet.service.zones",
        services,
        s -> Arrays.stream(s.proxiesByZone()).filter(p -> p > 0).count(),
        s -> 1,
        "zones");
    double[] tasksByZone = new double[fleet.zones().size()];
    double[] tasksByRegion = new double[CapacityTarget.REGIONS];
    for (FleetModel.Service service : services) {
      for (int z = 0; z < tasksByZone.length; z++) {
        tasksByZone[z] += service.tasksByZone()[z];
        tasksByRegion[fleet.zones().get(z).region()] += service.tasksByZone()[z];
      }
    }
    spread(
        "fleet.zone.tasks", Arrays.stream(tasksByZone).boxed().toList(), t -> t, t -> 1, "tasks");
    spread(
        "fleet.region.tasks",
        Arrays.stream(tasksByRegion).boxed().toList(),
        t -> t,
        t -> 1,
        "tasks");
  }

  private static void printMap(TierMap map, FleetModel fleet, MessageSizes sizes) {
    List<TierMap.Tier> tiers = map.tiers(fleet);
    String name = map.name().toLowerCase(Locale.ROOT) + ".";
    print(name + "tiers", tiers.size(), "tiers");
    print(name + "assigners", tiers.stream().mapToInt(TierMap.Tier::assigners).sum(), "assigners");
    spread(name + "tier_assigners", tiers, TierMap.Tier::assigners, t -> 1, "assigners");
    spreadLoad(name + "servers", tiers, sizes, AssignerLoad::servers, "servers");
    spreadLoad(name + "zones_known", tiers, sizes, AssignerLoad::zonesKnown, "zones");
    spreadLoad(name + "zones_in_scope", tiers, sizes, AssignerLoad::zonesInScope, "zones");
    spreadLoad(name + "proxies", tiers, sizes, AssignerLoad::proxies, "proxies");
    spreadLoad(name + "requests", tiers, sizes, AssignerLoad::requestsPerSecond, "/s");
    spreadLoad(name + "heard", tiers, sizes, AssignerLoad::reportsPerSecond, "lines/s");
    spreadLoad(
        name + "core_ratio",
        tiers,
        sizes,
        l -> l.reportsPerSecond() * Scenarios.CPU_SECONDS_PER_REPORT / CapacityTarget.CORE_SHARE,
        "of_limit");
    spreadLoad(
        name + "state_ratio",
        tiers,
        sizes,
        l -> l.pairsKnown() * Scenarios.BYTES_PER_SERVER_ZONE_PAIR / CapacityTarget.STATE_BYTES,
        "of_limit");
    spreadLoad(
        name + "state_in_scope_ratio",
        tiers,
        sizes,
        l -> l.pairsInScope() * Scenarios.BYTES_PER_SERVER_ZONE_PAIR / CapacityTarget.STATE_BYTES,
        "of_limit");
    spreadLoad(name + "bytes_in", tiers, sizes, AssignerLoad::bytesInPerSecond, "bytes/s");
    spreadLoad(name + "bytes_out", tiers, sizes, AssignerLoad::bytesOutPerSecond, "bytes/s");
    spreadLoad(
        name + "bytes_ratio",
        tiers,
        sizes,
        l -> (l.bytesInPerSecond() + l.bytesOutPerSecond()) / CapacityTarget.BYTES_PER_SECOND,
        "of_limit");
    spreadLoad(name + "list", tiers, sizes, AssignerLoad::listBytes, "bytes");
    spreadLoad(
        name + "list_time",
        tiers,
        sizes,
        l -> l.listBytes() / CapacityTarget.BYTES_PER_SECOND,
        "s");
    spreadLoad(name + "bind", tiers, sizes, AssignerLoad::bindBytes, "bytes");
    spreadLoad(name + "list_entries", tiers, sizes, l -> 3600 * l.listEntriesPerSecond(), "/h");
    spreadLoad(name + "pairs_known", tiers, sizes, AssignerLoad::pairsKnown, "pairs");
    spreadLoad(name + "pairs_in_scope", tiers, sizes, AssignerLoad::pairsInScope, "pairs");
    double overBytes =
        tiers.stream()
            .filter(
                t -> {
                  AssignerLoad load = AssignerLoad.of(t, sizes);
                  return load.bytesInPerSecond() + load.bytesOutPerSecond()
                      > CapacityTarget.BYTES_PER_SECOND;
                })
            .mapToInt(TierMap.Tier::assigners)
            .sum();
    print(name + "assigners_over_bytes", overBytes, "assigners");
    double overState =
        tiers.stream()
            .filter(
                t ->
                    AssignerLoad.of(t, sizes).pairsKnown() * Scenarios.BYTES_PER_SERVER_ZONE_PAIR
                        > CapacityTarget.STATE_BYTES)
            .mapToInt(TierMap.Tier::assigners)
            .sum();
    print(name + "assigners_over_state", overState, "assigners");
  }

  /** Over assigners: each of a tier counts. */
  private static void spreadLoad(
      String name,
      List<TierMap.Tier> tiers,
      MessageSizes sizes,
      ToDoubleFunction<AssignerLoad> what,
      String unit) {
    spread(
        name,
        tiers,
        t -> what.applyAsDouble(AssignerLoad.of(t, sizes)),
        TierMap.Tier::assigners,
        unit);
  }

  /** Mean, 90th percentile and largest, each item counted as often as it weighs. */
  private static <T> void spread(
      String name, List<T> of, ToDoubleFunction<T> what, ToDoubleFunction<T> weight, String unit) {
    double all = of.stream().mapToDouble(weight).sum();
    double mean =
        of.stream().mapToDouble(t -> weight.applyAsDouble(t) * what.applyAsDouble(t)).sum() / all;
    List<T> order = of.stream().sorted(Comparator.comparingDouble(what)).toList();
    double seen = 0;
    double p90 = 0;
    double most = 0;
    for (T item : order) {
      p90 = seen < 0.9 * all ? what.applyAsDouble(item) : p90;
      seen += weight.applyAsDouble(item);
      most = what.applyAsDouble(item);
    }
    print(name + ".mean", mean, unit);
    print(name + ".p90", p90, unit);
    print(name + ".most", most, unit);
  }
}
