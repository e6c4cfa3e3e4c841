package org.yuccabank.command;

import io.netty.handler.codec.http.HttpMethod;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Request of an operator to an entry. Immutable.
 *
 * @param method HTTP method
 * @param path path with its query
 * @param headers further headers
 * @param body body, empty if there is none
 */
record EntryRequest(HttpMethod method, String path, Map<String, String> headers, String body) {

    /** Copies the headers. */
    EntryRequest {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(path, "path is null");
        headers = Map.copyOf(headers);
    }

    /** A request that only reads. */
    static EntryRequest get(String path) {
        return new EntryRequest(HttpMethod.GET, path, Map.of(), "");
    }

    /** A request that changes something. */
    static EntryRequest of(HttpMethod method, String path, String body) {
        return new EntryRequest(method, path, Map.of(), body);
    }

    /** The same request with one more header. */
    EntryRequest withHeader(String name, String value) {
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.put(name, value);
        return new EntryRequest(method, path, all, body);
    }
}
