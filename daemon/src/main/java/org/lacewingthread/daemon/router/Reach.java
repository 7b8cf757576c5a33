package org.lacewingthread.daemon.router;

/**
 * What the traffic thread knows of this entry VM's links to the servers.
 *
 * @param cutOff whether no server can be reached
 * @param answeringServers servers that answered of late
 * @param silentServers servers that did not answer of late
 * @param answerAgeMillis time since any server answered, in milliseconds
 */
record Reach(boolean cutOff, int answeringServers, int silentServers, long answerAgeMillis) {
    /** Silent servers from which this VM's own links may be the cause. */
    static final int MIN_SILENT_SERVERS = 3;
    /** Another VM reaches far more servers if it reaches this multiple, and one more. */
    private static final int FAR_MORE_FACTOR = 2;

    /** Nothing is known. */
    static final Reach UNKNOWN = new Reach(false, 0, 0, Long.MAX_VALUE / 2);

    /**
     * Returns whether this VM's links to servers are impaired: it reaches none, or most are silent and another VM reaches
     * far more.
     *
     * @param mostAnsweringServers largest number of servers that answered another VM
     */
    boolean isImpaired(int mostAnsweringServers) {
        boolean mostSilent = silentServers >= MIN_SILENT_SERVERS && silentServers > answeringServers;
        return cutOff || (mostSilent && mostAnsweringServers > FAR_MORE_FACTOR * answeringServers + 1);
    }
}
