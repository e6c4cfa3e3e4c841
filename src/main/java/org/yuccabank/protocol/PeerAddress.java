package org.yuccabank.protocol;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats peer addresses as used in messages and in the membership. Stateless. */
public final class PeerAddress {

    private static final String OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";

    private static final Pattern IP_AND_PORT =
            Pattern.compile("(" + OCTET + "(?:\\." + OCTET + "){3}):([0-9]{1,5})");

    private static final int MAXIMUM_PORT = 65_535;

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
     * Parses an address that has not been validated. Never looks up a name.
     *
     * @param address text that should be an IPv4 address and a port
     * @return the socket address, empty if the text is no such address or the port is not from 1 to
     *     65535
     */
    public static Optional<InetSocketAddress> tryParse(String address) {
        Matcher parts = IP_AND_PORT.matcher(address);
        if (!parts.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(parts.group(2));
        return port >= 1 && port <= MAXIMUM_PORT
                ? Optional.of(new InetSocketAddress(parts.group(1), port))
                : Optional.empty();
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
