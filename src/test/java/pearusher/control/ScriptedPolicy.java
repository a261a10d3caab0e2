package pearusher.control;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;
import pearusher.server.TestPeers;

/**
 * A module that writes down what it is told and orders what a test asks for, at the end of a turn.
 */
public final class ScriptedPolicy
    implements BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> {
  public final List<String> told = new CopyOnWriteArrayList<>();
  private final LinkedBlockingQueue<Consumer<PolicyCommands>> asked = new LinkedBlockingQueue<>();
  private volatile Controller exchange;

  @Override
  public AssignmentPolicy apply(PolicySettings settings, PolicyCommands orders) {
    return (AssignmentPolicy)
        Proxy.newProxyInstance(
            ScriptedPolicy.class.getClassLoader(),
            new Class<?>[] {AssignmentPolicy.class},
            (self, method, args) -> {
              if (method.getName().equals("onBatchEnd")) {
                for (Consumer<PolicyCommands> a = asked.poll(); a != null; a = asked.poll()) {
                  a.accept(orders);
                }
                return null;
              }
              if (method.getName().equals("onProxyJoined") && (Boolean) args[4]) {
                orders.confirmProxy((Integer) args[1]);
              }
              List<String> words = new ArrayList<>(List.of(method.getName()));
              for (int k = 1; k < args.length; k++) {
                words.add(
                    args[k] instanceof float[] f
                        ? Arrays.toString(f)
                        : args[k] instanceof byte[] b
                            ? Arrays.toString(b)
                            : String.valueOf(args[k]));
              }
              told.add(String.join(" ", words));
              return null;
            });
  }

  public void on(Controller what) {
    exchange = what;
  }

  /** Gives orders in a turn of their own. */
  public void order(Consumer<PolicyCommands> what) {
    asked.add(what);
    exchange.execute(() -> {});
  }

  /** Waits until the module was told this, and forgets all up to then. */
  public void hear(String start) throws InterruptedException {
    TestPeers.until(start + " in " + told, () -> told.stream().anyMatch(t -> t.startsWith(start)));
    while (!told.remove(0).startsWith(start)) {
      // What came before is dropped.
    }
  }
}
