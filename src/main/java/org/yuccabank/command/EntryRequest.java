package org.yuccabank.command;

import io.netty.handler.codec.http.HttpMethod;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * HTTP request of an operator command to an entry. Immutable.
 *
 * @param method HTTP method
 * @param path path and query
 * @param headers additional headers
 * @param body body, empty if there is none
 */
record EntryRequest(HttpMethod method, String path, Map<String, String> headers, String body) {

    /** Validates the components and copies the headers. */
    EntryRequest {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(path, "path is null");
        headers = Map.copyOf(headers);
    }

    /** Creates a read request. */
    static EntryRequest get(String path) {
        return new EntryRequest(HttpMethod.GET, path, Map.of(), "");
    }

    /** Creates a request that changes state. */
    static EntryRequest of(HttpMethod method, String path, String body) {
        return new EntryRequest(method, path, Map.of(), body);
    }

    /** Returns a copy of this request with an additional header. */
    EntryRequest withHeader(String name, String value) {
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.put(name, value);
        return new EntryRequest(method, path, all, body);
    }
}
