package org.yuccabank.protocol;

import java.net.InetSocketAddress;

/** Parses and formats peer addresses as used in messages and in the membership. Stateless. */
public final class PeerAddress {

    private PeerAddress() {}

    /**
     * Parses an address that has already been validated.
     *
     * @param address IP address and port, such as {@code 127.0.0.1:7101}
     * @return the socket address
     */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /**
     * Formats an address for messages and the membership.
     *
     * @param address a resolved address
     * @return IP address and port, separated by a colon
     */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
