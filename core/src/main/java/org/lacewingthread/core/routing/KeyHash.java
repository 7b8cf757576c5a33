package org.lacewingthread.core.routing;

import java.nio.charset.StandardCharsets;
import net.openhft.hashing.LongHashFunction;

/** Stable 64-bit hash of keys: xxHash64 with seed 0 of the key's UTF-8 bytes. */
public final class KeyHash {
    private static final LongHashFunction XX_HASH_64 = LongHashFunction.xx(0);

    private KeyHash() {}

    /** Returns the 64-bit hash of a key. */
    public static long of(String key) {
        return XX_HASH_64.hashBytes(key.getBytes(StandardCharsets.UTF_8));
    }
}
