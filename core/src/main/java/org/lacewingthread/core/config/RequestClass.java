package org.lacewingthread.core.config;

/** Class of a request: states how the router may handle it. Ordered by admission priority, highest first. */
public enum RequestClass {
    /** Must take effect at most once; sent again only if it provably did not run. */
    NON_REPEATABLE(false, false, false),
    /** May be repeated and hedged. */
    LOOKUP(true, true, false),
    /** May be repeated; refused first under overload. */
    DEFERRABLE(true, false, true);

    private final boolean repeatable;
    private final boolean hedged;
    private final boolean shedFirst;

    RequestClass(boolean repeatable, boolean hedged, boolean shedFirst) {
        this.repeatable = repeatable;
        this.hedged = hedged;
        this.shedFirst = shedFirst;
    }

    /** Returns whether a request may be sent again although it may have run. */
    public boolean mayRepeat() {
        return repeatable;
    }

    /** Returns whether a second copy may be sent before the first one is answered. */
    public boolean mayHedge() {
        return hedged;
    }

    /** Returns whether requests of this class are refused before others under overload. */
    public boolean isShedFirst() {
        return shedFirst;
    }
}
