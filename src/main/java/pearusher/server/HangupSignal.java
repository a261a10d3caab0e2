package pearusher.server;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * Handler of SIGHUP, which would otherwise end the virtual machine. {@code sun.misc.Signal} is not
 * part of the Java standard and using it causes compiler warnings, so it is accessed by reflection.
 */
final class HangupSignal {
  private static final String SIGNAL_CLASS = "sun.misc.Signal";
  private static final String HANDLER_CLASS = "sun.misc.SignalHandler";
  private static final String SIGNAL_NAME = "HUP";

  private HangupSignal() {}

  /**
   * Runs an action on each SIGHUP, on a separate thread. Logs a warning if the handler cannot be
   * installed. If the process inherited an ignored SIGHUP (from nohup, or from a trap in the parent
   * shell), the virtual machine keeps ignoring the signal and silently discards the handler.
   */
  static void onHangup(Runnable action) {
    try {
      if (!install(action)) {
        Logger.warn(
            "SIGHUP reload disabled: the signal was ignored at process start; start the process"
                + " with env --default-signal=HUP");
      }
    } catch (ReflectiveOperationException e) {
      Logger.warn("SIGHUP reload disabled: handler not installed: {}", e.getMessage());
    }
  }

  /** Installs a handler. Returns false if the process inherited an ignored signal. */
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

  /** Invocation handler of the signal handler proxy, including the methods of {@link Object}. */
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
