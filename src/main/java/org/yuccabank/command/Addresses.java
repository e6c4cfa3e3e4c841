package org.yuccabank.command;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.ParseException;

/** Addresses on the command line, written {@code HOST:PORT}. */
final class Addresses {

    private Addresses() {}

    static InetSocketAddress parse(String text) throws ParseException {
        int colon = text.lastIndexOf(':');
        try {
            if (colon > 0) {
                int port = Integer.parseInt(text.substring(colon + 1));
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (IllegalArgumentException exception) {
            throw new ParseException("not an address of the form HOST:PORT: " + text);
        }
        throw new ParseException("not an address of the form HOST:PORT: " + text);
    }

    static List<InetSocketAddress> parseList(String text) throws ParseException {
        List<InetSocketAddress> result = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            result.add(parse(part.trim()));
        }
        return result;
    }
}
