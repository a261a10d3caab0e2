package pearusher.policy;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** A recorded history: its name, settings, seed, and the script that changes the deployment. */
record PolicyScenario(
    String name, PolicySettings settings, long seed, Consumer<PolicyHistory> script) {
  static List<PolicyScenario> all() {
    return Stream.of(
            LoadScenarios.scenarios(),
            OverloadScenarios.scenarios(),
            MembershipScenarios.scenarios(),
            ChannelScenarios.scenarios(),
            RandomScenarios.scenarios())
        .flatMap(List::stream)
        .toList();
  }

  PolicyHistory play() {
    PolicyHistory history = new PolicyHistory(settings, seed);
    script.accept(history);
    return history;
  }

  @Override
  public String toString() {
    return name;
  }
}
