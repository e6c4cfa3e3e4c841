package org.yuccabank.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads requests from a connection and writes responses. Stateless. */
final class SoakHttp {

    private SoakHttp() {}

    /** A request: its path, the identifier of the worker that it is meant for, and its body. */
    record Request(String path, String instance, JsonFields body) {}

    static Request read(InputStream input) throws IOException {
        String requestLine = readLine(input);
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
            String[] parts = line.split(":", 2);
            headers.put(parts[0].toLowerCase(Locale.ROOT), parts[1].trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = input.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the connection was closed");
        }
        return new Request(
                requestLine.split(" ", 3)[1],
                headers.getOrDefault("x-yuccabank-expected-instance", ""),
                JsonFields.parse(body));
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int value = input.read(); value != '\n'; value = input.read()) {
            if (value < 0) {
                throw new IOException("the connection was closed");
            }
            line.write(value);
        }
        return line.toString(StandardCharsets.ISO_8859_1).trim();
    }

    static void write(OutputStream output, SoakLifetime.Reply reply) throws IOException {
        byte[] body = JsonFields.toBytes(reply.body());
        String head =
                "HTTP/1.1 "
                        + reply.status()
                        + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length
                        + "\r\n\r\n";
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        message.writeBytes(body);
        output.write(message.toByteArray());
    }
}
