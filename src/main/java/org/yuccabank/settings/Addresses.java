package org.yuccabank.settings;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats IP addresses with ports, without DNS look-ups. Stateless and thread-safe. */
public final class Addresses {

    private static final Pattern WITH_PORT =
            Pattern.compile("(?:\\[([0-9A-Fa-f:.]{2,45})]|([0-9.]{7,15})):([0-9]{1,5})");
    private static final int MAXIMUM_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses an address.
     *
     * @param text an address such as {@code 127.0.0.1:7101} or {@code [::1]:7101}
     * @return the address, empty if the text is not a valid address
     */
    public static Optional<InetSocketAddress> parse(String text) {
        Matcher matcher = WITH_PORT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        String ipAddress = matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
        byte[] bytes = NetUtil.createByteArrayFromIpAddressString(ipAddress);
        int port = Integer.parseInt(matcher.group(3));
        if (bytes == null || port > MAXIMUM_PORT) {
            return Optional.empty();
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByAddress(bytes), port));
        } catch (UnknownHostException exception) {
            return Optional.empty();
        }
    }

    /**
     * Formats an address in the form that {@link #parse} accepts.
     *
     * @param address a resolved address
     * @return the text
     */
    public static String format(InetSocketAddress address) {
        return NetUtil.toSocketAddressString(address);
    }
}
