package org.lacewingthread.daemon.cli;

/** Thrown if a command fails. Holds the message for the user and the exit code of the process. */
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
