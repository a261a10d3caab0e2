package pearusher.simulator;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;

/**
 * Policy instances of a simulation by number. An instance that throws is removed, and its failure
 * is written to the reply; the others continue. Its size is proportional to the number of instances
 * that the simulator starts.
 */
final class PolicyInstances {
  private final BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> factory;
  private final ReplyWriter reply;
  private final Map<Integer, AssignmentPolicy> policies = new TreeMap<>();

  PolicyInstances(
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> factory, ReplyWriter reply) {
    this.factory = factory;
    this.reply = reply;
  }

  /** Starts an instance, which replaces any running instance with the same number. */
  void start(int instance, PolicySettings settings) {
    try {
      policies.put(instance, factory.apply(settings, reply));
    } catch (RuntimeException e) {
      policies.remove(instance);
      reply.failure("start: " + e);
    }
  }

  void stop(int instance) {
    policies.remove(instance);
  }

  /** Delivers an event to an instance; discards the event if the instance is not running. */
  void deliver(int instance, Consumer<AssignmentPolicy> event) {
    AssignmentPolicy policy = policies.get(instance);
    if (policy == null) {
      return;
    }
    try {
      event.accept(policy);
    } catch (RuntimeException e) {
      policies.remove(instance);
      StackTraceElement[] trace = e.getStackTrace();
      reply.failure(e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
  }
}
