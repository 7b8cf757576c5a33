package org.lacewingthread.daemon.router;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles signals of the operating system. The JDK offers this only in a package that the compiler
 * warns about and that warning can't be suppressed, hence the reflection.
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
     * Replaces what a signal does.
     *
     * @param name without the leading SIG
     * @param action runs on a thread of its own
     * @throws IllegalStateException if the JDK can't handle the signal
     */
    public static void handle(String name, Runnable action) {
        try {
            Class<?> signalClass = Class.forName(SIGNAL_CLASS);
            Class<?> handlerClass = Class.forName(HANDLER_CLASS);
            InvocationHandler onCall = (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                    action.run();
                }
                return null;
            };
            Object handler = Proxy.newProxyInstance(
                    ProcessSignals.class.getClassLoader(), new Class<?>[] {handlerClass}, onCall);
            Object signal = signalClass.getConstructor(String.class).newInstance(name);
            signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("signal SIG" + name + " can't be handled", e);
        }
    }
}
