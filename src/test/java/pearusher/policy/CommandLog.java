package pearusher.policy;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Records commands as text, for tests of a single module of the policy. */
final class CommandLog {
  final List<String> lines = new ArrayList<>();

  PolicyCommands commands() {
    return (PolicyCommands)
        Proxy.newProxyInstance(
            PolicyCommands.class.getClassLoader(),
            new Class<?>[] {PolicyCommands.class},
            (proxy, method, arguments) -> {
              lines.add(method.getName() + Arrays.toString(arguments));
              return null;
            });
  }
}
