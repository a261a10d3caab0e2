package pearusher.control;

import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import pearusher.config.AssignerConfig;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;

/**
 * A controller whose iterations the test runs on its own thread, with a clock of the test. It does
 * not wait for bursts, and it is connected to neither discovery nor peers.
 */
final class ManualController extends Controller {
  ManualController(
      AssignerConfig config,
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> policyFactory,
      LongSupplier clock,
      Persistence persistence) {
    super(config, policyFactory, clock, failure -> {}, persistence, Optional.empty());
    connect(new NoOutboundCalls(), (peer, body) -> {});
  }

  @Override
  public void awaitTick() {}

  /** Runs an iteration even if no event waits. */
  void runEmptyIteration() throws InterruptedException {
    execute(() -> {});
    runIteration();
  }

  /** Calls that lead nowhere. */
  static class NoOutboundCalls implements OutboundCalls {
    @Override
    public void watchEndpoints(boolean isOn, long sinceGeneration) {}

    @Override
    public void fetchEndpoints() {}

    @Override
    public void checkHealth(long server, String hostPort) {}
  }
}
