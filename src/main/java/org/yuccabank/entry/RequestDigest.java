package org.yuccabank.entry;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Digest that tells two different requests under one idempotency key apart. */
final class RequestDigest {

    private RequestDigest() {}

    /**
     * Digest of what a request asks for.
     *
     * @param request the request
     * @return the first 64 bits of a SHA-256 digest
     */
    static long of(ServiceRequest request) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(request.service().getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            digest.update(request.kind().value().getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            digest.update(request.body().asReadOnlyByteBuffer());
            return ByteBuffer.wrap(digest.digest()).getLong();
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("every Java platform has SHA-256", exception);
        }
    }
}
