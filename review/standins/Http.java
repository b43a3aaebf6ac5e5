package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on plain streams. */
final class Http {
    private Http() {}

    /** A request or a response; header names are in lower case. */
    record Message(String[] start, Map<String, String> headers, byte[] body) {
        String method() {
            return start[0];
        }

        String path() {
            int query = start[1].indexOf('?');
            return query < 0 ? start[1] : start[1].substring(0, query);
        }

        String query(String name) {
            int at = start[1].indexOf('?');
            if (at >= 0) {
                for (String part : start[1].substring(at + 1).split("&")) {
                    if (part.startsWith(name + "=")) {
                        return part.substring(name.length() + 1);
                    }
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(start[1]);
        }

        String header(String name) {
            return headers.get(name);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Returns the next line, or null if the stream ended before its first byte. */
    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("ended within a line");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head of a message, or null if the stream ended before it. */
    static Message head(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new Message(start.split(" ", 3), headers, new byte[0]);
    }

    /** Reads a whole message whose body has a length or is chunked; null at the end. */
    static Message read(InputStream in) throws IOException {
        Message head = head(in);
        if (head == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
            while (size > 0) {
                body.write(exactly(in, size));
                line(in);
                size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
            }
            line(in);
        } else if (head.header("content-length") != null) {
            body.write(exactly(in, Integer.parseInt(head.header("content-length"))));
        }
        return new Message(head.start(), head.headers(), body.toByteArray());
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("ended within a body");
        }
        return bytes;
    }

    /** Writes a response; {@code headers} are names and values in turn. */
    static void respond(OutputStream out, int status, byte[] body, String... headers)
            throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
        for (int i = 0; i < headers.length; i += 2) {
            head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }
}
