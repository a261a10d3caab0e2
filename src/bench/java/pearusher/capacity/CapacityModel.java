package pearusher.capacity;

import java.util.List;
import java.util.concurrent.Callable;
import pearusher.server.MessageSizes;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Prints the figures that docs/CAPACITY.md derives, as {@code name value unit} lines. Run from the
 * project's root.
 */
@Command(
    name = "capacity",
    mixinStandardHelpOptions = true,
    description = "Derives the load of each role at the target's size.")
final class CapacityModel implements Callable<Integer> {
  @Option(names = "--seed", description = "seed of the fleet (${DEFAULT-VALUE})")
  private long seed = FleetModel.Skew.ASSUMED.seed();

  @Option(
      names = "--tasks-skew",
      description = "Zipf exponent of tasks per service (${DEFAULT-VALUE})")
  private double tasksSkew = FleetModel.Skew.ASSUMED.tasks();

  @Option(
      names = "--requests-skew",
      description = "Zipf exponent of requests per service (${DEFAULT-VALUE})")
  private double requestsSkew = FleetModel.Skew.ASSUMED.requests();

  @Option(names = "--regions-skew", description = "Zipf exponent of regions (${DEFAULT-VALUE})")
  private double regionsSkew = FleetModel.Skew.ASSUMED.regions();

  @Option(
      names = "--requests-per-proxy",
      description = "maximum requests per second of a proxy (${DEFAULT-VALUE})")
  private double requestsPerProxy = FleetModel.Skew.ASSUMED.requestsPerProxy();

  @Option(
      names = "--map",
      description = "tier maps to print (${COMPLETION-CANDIDATES}; default: all)")
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
    new FleetReport(fleet).print();
    for (TierMap map : maps) {
      new TierReport(map, fleet, sizes).print();
      new Scenarios(map, fleet, sizes).print();
    }
    return 0;
  }

  private static void printSizes(MessageSizes sizes) {
    Figures.print("size.heard", sizes.loadReport(), "bytes");
    Figures.print("size.heard_without_load", sizes.loadReportWithoutLoad(), "bytes");
    Figures.print("size.usage", sizes.usageReport(), "bytes");
    Figures.print("size.joined", sizes.proxyJoin(), "bytes");
    Figures.print("size.applied", sizes.acknowledgement(), "bytes");
    Figures.print("size.list_entry", sizes.listEntry(), "bytes");
    Figures.print("size.table_line", sizes.weightEntry(), "bytes");
    Figures.print("size.update_head", sizes.updateOverhead(), "bytes");
    Figures.print("size.probe_request", sizes.healthCheckRequest(), "bytes");
    Figures.print("size.probe_answer", sizes.healthCheckResponse(), "bytes");
  }
}
