package org.lacewingthread.core.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Identifies requests that are alike: the first half of a SHA-256 digest of what makes a request run as it does, without
 * what differs between its copies, such as its id and its deadline.
 *
 * @param hex {@value #HEX_DIGITS} lower-case hexadecimal digits
 */
public record RequestFingerprint(String hex) {
    private static final int HEX_DIGITS = 32;
    private static final Pattern SYNTAX = Pattern.compile("[0-9a-f]{" + HEX_DIGITS + "}");

    /**
     * Checks the digits.
     *
     * @throws IllegalArgumentException if the text is not a fingerprint
     */
    public RequestFingerprint {
        if (!SYNTAX.matcher(hex).matches()) {
            throw new IllegalArgumentException("request fingerprint \"" + hex + "\" is not valid; give " + HEX_DIGITS
                    + " lower-case hexadecimal digits");
        }
    }

    /**
     * Returns the fingerprint of a request.
     *
     * @param fields values that make it run as it does, in a fixed order, such as method, host and target
     * @param body the body
     */
    public static RequestFingerprint of(List<String> fields, byte[] body) {
        MessageDigest digest = sha256();
        for (String field : fields) {
            byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
            digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.length));
            digest.update(bytes);
        }
        digest.update(body);
        return new RequestFingerprint(HexFormat.of().formatHex(digest.digest()).substring(0, HEX_DIGITS));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    @Override
    public String toString() {
        return hex;
    }
}
