package pearusher.control;

import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import pearusher.config.AssignerConfig;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;

/**
 * A controller whose iterations run on the thread of the test, with a simulated clock. It does not
 * wait for the end of bursts, and is connected to neither discovery nor peers.
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

  /** Runs an iteration even if no event is queued. */
  void runEmptyIteration() throws InterruptedException {
    execute(() -> {});
    runIteration();
  }

  /** Ignores all calls. */
  static class NoOutboundCalls implements OutboundCalls {
    @Override
    public void watchEndpoints(boolean isOn, long sinceGeneration) {}

    @Override
    public void fetchEndpoints() {}

    @Override
    public void checkHealth(long server, String hostPort) {}
  }
}
