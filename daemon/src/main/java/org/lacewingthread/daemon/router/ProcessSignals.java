package org.lacewingthread.daemon.router;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles signals of the operating system. Reflection is used because the compiler warns about every use of the JDK's
 * {@code sun.misc} package and the warning can't be suppressed.
 *
 * <pre>{@code
 * ProcessSignals.handle("HUP", this::reload);
 * }</pre>
 */
public final class ProcessSignals {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private ProcessSignals() {}

    /**
     * Replaces the handler of a signal.
     *
     * @param name name of the signal without the leading SIG
     * @param action runs on a separate thread
     * @throws IllegalStateException if the JDK can't handle the signal
     */
    public static void handle(String name, Runnable action) {
        try {
            Class<?> signalClass = Class.forName(SIGNAL_CLASS);
            Class<?> handlerClass = Class.forName(HANDLER_CLASS);
            InvocationHandler invocationHandler = (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                    action.run();
                }
                return null;
            };
            Object handler = Proxy.newProxyInstance(
                    ProcessSignals.class.getClassLoader(), new Class<?>[] {handlerClass}, invocationHandler);
            Object signal = signalClass.getConstructor(String.class).newInstance(name);
            signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot install a handler for signal SIG" + name, e);
        }
    }
}
