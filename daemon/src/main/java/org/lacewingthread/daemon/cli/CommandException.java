package org.lacewingthread.daemon.cli;

/** A command failed; the message is for the person at the terminal. */
final class CommandException extends Exception {
    private final ExitCode exitCode;

    CommandException(ExitCode exitCode, String message) {
        this(exitCode, message, null);
    }

    CommandException(ExitCode exitCode, String message, Throwable cause) {
        super(message, cause);
        this.exitCode = exitCode;
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
