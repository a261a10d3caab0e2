package pearusher.server;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * Handles SIGHUP, on which the virtual machine would end otherwise. The class that takes signals is
 * not part of the Java standard and the compiler warns of it, so it is looked up at run time.
 */
final class HangupSignal {
  private static final String SIGNAL_CLASS = "sun.misc.Signal";
  private static final String HANDLER_CLASS = "sun.misc.SignalHandler";
  private static final String SIGNAL_NAME = "HUP";

  private HangupSignal() {}

  /**
   * Runs an action at each SIGHUP, on a thread of its own. Where this can't work, a warning is
   * logged: if the signal was ignored when the process began (by nohup, or a trap of the shell that
   * started it), the virtual machine leaves it so and drops the handler silently.
   */
  static void onHangup(Runnable action) {
    try {
      if (!install(action)) {
        Logger.warn(
            "no reload on SIGHUP: it was ignored when the process began; start it by "
                + "env --default-signal=HUP");
      }
    } catch (ReflectiveOperationException e) {
      Logger.warn("no reload on SIGHUP: {}", e.getMessage());
    }
  }

  /** Installs a handler; false where the signal was ignored before. */
  private static boolean install(Runnable action) throws ReflectiveOperationException {
    Class<?> signalClass = Class.forName(SIGNAL_CLASS);
    Class<?> handlerClass = Class.forName(HANDLER_CLASS);
    Object handler =
        Proxy.newProxyInstance(
            HangupSignal.class.getClassLoader(),
            new Class<?>[] {handlerClass},
            new SignalHandler(action));
    Object signal = signalClass.getConstructor(String.class).newInstance(SIGNAL_NAME);
    Object previous =
        signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
    return previous != handlerClass.getField("SIG_IGN").get(null);
  }

  /** The methods of a handler object: the one for signals, and those of every object. */
  private record SignalHandler(Runnable action) implements InvocationHandler {
    @Override
    public Object invoke(Object self, Method method, Object[] arguments) {
      return switch (method.getName()) {
        case "handle" -> {
          action.run();
          yield null;
        }
        case "hashCode" -> System.identityHashCode(self);
        case "equals" -> self == arguments[0];
        default -> "SIGHUP handler";
      };
    }
  }
}
