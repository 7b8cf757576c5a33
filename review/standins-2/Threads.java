/** Starts daemon threads. */
final class Threads {
    /** A task that may fail. */
    interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception e) {
                System.err.println(name + ": " + e);
            }
        }, name, 128 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
