package org.galenapost.daemon.lifecycle;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.galenapost.daemon.log.EventLog;

/**
 * Registers handlers of operating system signals, for which the Java standard library has no public
 * API. It calls {@code sun.misc.Signal} by reflection, because direct use causes a compiler warning
 * and warnings are build errors.
 */
public final class Signals {

  private static final String SIGNAL_CLASS = "sun.misc.Signal";
  private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

  private Signals() {}

  /**
   * Runs an action on each occurrence of a signal, instead of the default action.
   *
   * @param name the name of the signal without {@code SIG}, such as {@code HUP}
   * @param action the action, which runs on a signal thread of the JVM
   */
  public static void handle(String name, Runnable action) {
    try {
      Class<?> signalClass = Class.forName(SIGNAL_CLASS);
      Class<?> handlerClass = Class.forName(HANDLER_CLASS);
      Object signal = signalClass.getConstructor(String.class).newInstance(name);
      Object handler =
          Proxy.newProxyInstance(
              handlerClass.getClassLoader(),
              new Class<?>[] {handlerClass},
              (proxy, method, arguments) -> {
                action.run();
                return null;
              });
      signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
    } catch (ReflectiveOperationException e) {
      // The logger is not a static field: initializing the log takes so long that a signal could
      // arrive before its handler is registered.
      EventLog.of(Signals.class)
          .error("signal_not_handled")
          .with("signal", name)
          .with("error", causeOf(e))
          .write();
    }
  }

  private static Throwable causeOf(ReflectiveOperationException error) {
    return error instanceof InvocationTargetException && error.getCause() != null
        ? error.getCause()
        : error;
  }
}
