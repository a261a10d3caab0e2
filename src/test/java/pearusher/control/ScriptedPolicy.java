package pearusher.control;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.AttemptReport;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;
import pearusher.server.TestPeers;

/**
 * A policy that records its events as texts, and issues the commands of the test at the end of an
 * iteration. The text of an event consists of the name of the method of {@link AssignmentPolicy}
 * and the arguments without the time, separated by spaces.
 */
public final class ScriptedPolicy
    implements BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> {
  private static final String BATCH_END = "onBatchEnd";
  private static final String PROXY_JOINED = "onProxyJoined";

  /** Position of the proxy in the arguments of {@link AssignmentPolicy#onProxyJoined}. */
  private static final int PROXY_ARGUMENT = 1;

  /** Position of the flag for a proxy without tables in these arguments. */
  private static final int IS_FRESH_ARGUMENT = 4;

  /** The recorded events, without those that {@link #awaitEvent} has removed. */
  public final List<String> events = new CopyOnWriteArrayList<>();

  private final LinkedBlockingQueue<Consumer<PolicyCommands>> scripts = new LinkedBlockingQueue<>();
  private volatile Controller controller;

  @Override
  public AssignmentPolicy apply(PolicySettings settings, PolicyCommands commands) {
    return (AssignmentPolicy)
        Proxy.newProxyInstance(
            ScriptedPolicy.class.getClassLoader(),
            new Class<?>[] {AssignmentPolicy.class},
            (self, method, arguments) -> {
              onEvent(method.getName(), arguments, commands);
              return null;
            });
  }

  private void onEvent(String name, Object[] arguments, PolicyCommands commands) {
    if (name.equals(BATCH_END)) {
      runScripts(commands);
      return;
    }
    if (name.equals(PROXY_JOINED) && (Boolean) arguments[IS_FRESH_ARGUMENT]) {
      commands.confirmProxy((Integer) arguments[PROXY_ARGUMENT]);
    }
    events.add(describe(name, arguments));
  }

  private void runScripts(PolicyCommands commands) {
    Consumer<PolicyCommands> script = scripts.poll();
    while (script != null) {
      script.accept(commands);
      script = scripts.poll();
    }
  }

  private static String describe(String name, Object[] arguments) {
    List<String> texts = new ArrayList<>(List.of(name));
    Arrays.stream(arguments).skip(1).map(ScriptedPolicy::describe).forEach(texts::add);
    return String.join(" ", texts);
  }

  /** Returns the text of an argument of an event. */
  public static String describe(Object argument) {
    if (argument instanceof AttemptReport report) {
      return describe(report);
    }
    if (argument instanceof float[] numbers) {
      return Arrays.toString(numbers);
    }
    return argument instanceof byte[] bytes ? Arrays.toString(bytes) : String.valueOf(argument);
  }

  /** Returns the fields of a load report; omits the age if it is 0. */
  private static String describe(AttemptReport report) {
    Stream<Object> fields =
        Stream.of(
            report.server(),
            report.zone(),
            report.attempts(),
            report.failedAttempts(),
            report.spanUs(),
            report.meanUs(),
            report.load());
    Stream<Object> age = report.ageUs() == 0 ? Stream.empty() : Stream.of(report.ageUs());
    return Stream.concat(fields, age)
        .map(ScriptedPolicy::describe)
        .collect(Collectors.joining(" "));
  }

  /** Sets the controller that runs this policy; must be called before {@link #command}. */
  public void setController(Controller owner) {
    controller = owner;
  }

  /** Issues commands at the end of the next iteration, and triggers that iteration. */
  public void command(Consumer<PolicyCommands> script) {
    scripts.add(script);
    controller.execute(() -> {});
  }

  /** Waits for an event that starts with the given text; removes it and all earlier events. */
  public void awaitEvent(String start) throws InterruptedException {
    TestPeers.awaitUntil(
        start + " in " + events, () -> events.stream().anyMatch(event -> event.startsWith(start)));
    while (!events.remove(0).startsWith(start)) {
      // Drops the earlier events.
    }
  }
}
