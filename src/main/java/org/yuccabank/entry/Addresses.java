package org.yuccabank.entry;

import java.net.InetSocketAddress;

/** Reads addresses of the form {@code 127.0.0.1:7101} that were checked before. */
final class Addresses {

    private Addresses() {}

    static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
