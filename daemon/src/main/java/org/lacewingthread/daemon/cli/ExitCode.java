package org.lacewingthread.daemon.cli;

/** Exit codes of the command line; operators and scripts rely on the numbers. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0, "done"),
    /** The command failed. */
    FAILED(1, "the command failed"),
    /** The arguments are not valid. */
    USAGE(2, "the arguments are not valid"),
    /** A settings or configuration file is not valid. */
    INVALID_FILE(3, "a settings or configuration file is not valid"),
    /** Another configuration was published since the base revision. */
    CONFLICT(4, "the base revision is no longer in force"),
    /** The platform or an entry VM can't be reached. */
    UNREACHABLE(5, "the platform or an entry VM can't be reached"),
    /** A record may or may not have been published. */
    OUTCOME_UNKNOWN(6, "the outcome is not known"),
    /** The demo found a guarantee violated. */
    PROMISE_BROKEN(7, "the demo found a promise broken");

    private final int number;
    private final String meaning;

    ExitCode(int number, String meaning) {
        this.number = number;
        this.meaning = meaning;
    }

    /** Returns the exit status of the process. */
    public int number() {
        return number;
    }

    /** Returns the meaning for the help text. */
    public String meaning() {
        return meaning;
    }
}
