package org.yuccabank.protocol;

import java.net.InetSocketAddress;

/** Reads addresses of peers as they stand in messages and in the membership. Has no state. */
public final class PeerAddress {

    private PeerAddress() {}

    /**
     * Reads an address that was checked before.
     *
     * @param address IP number and port, such as {@code 127.0.0.1:7101}
     * @return the address
     */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /**
     * Writes an address as it stands in messages and in the membership.
     *
     * @param address the address
     * @return IP number and port
     */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
