package org.yuccabank.entry;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Computes digests that distinguish different requests with the same idempotency key. */
final class RequestDigest {

    private RequestDigest() {}

    /**
     * Returns the digest of a request's service, kind and body.
     *
     * @param request the request
     * @return the first 64 bits of the SHA-256 digest
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
            throw new IllegalStateException("SHA-256 is not available", exception);
        }
    }
}
