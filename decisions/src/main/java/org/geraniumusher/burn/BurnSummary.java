package org.geraniumusher.burn;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSortedMap;
import com.google.common.primitives.ImmutableLongArray;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holds the request counts of one daemon incarnation over the last hour, for transfer to peers or
 * to the store. A later summary replaces an earlier one of the same source, so sending a summary
 * repeatedly is safe. Immutable and thread-safe.
 *
 * @param source name of the daemon that counted the requests
 * @param incarnation start time of that daemon, which identifies the run
 * @param atMillis wall-clock time of the summary, in milliseconds since 1970
 */
public record BurnSummary(
        String source,
        long incarnation,
        long atMillis,
        ImmutableSortedMap<String, RequestCounts> routes) {
    /** Maximum number of routes in a summary. */
    public static final int MAX_ROUTES = 64;

    /** Maximum length of a source or route name, in UTF-8 bytes. */
    public static final int MAX_NAME_BYTES = 255;

    private static final int HEADER_BYTES = 1 + MAX_NAME_BYTES + 2 * Long.BYTES + 1;
    private static final int ROUTE_BYTES =
            1 + MAX_NAME_BYTES + Long.BYTES + 2 * RequestCounts.MINUTES * Long.BYTES;

    /** Maximum size of an encoded summary: 79,633 bytes. */
    public static final int MAX_BYTES = HEADER_BYTES + MAX_ROUTES * ROUTE_BYTES;

    /** Checks the length of each name and the number of routes. */
    public BurnSummary {
        checkName(source);
        routes.keySet().forEach(BurnSummary::checkName);
        checkArgument(routes.size() <= MAX_ROUTES, "too many routes: %s", routes.size());
    }

    /** Returns whether {@code other} comes from the same incarnation of the same daemon. */
    boolean hasSameSourceAs(BurnSummary other) {
        return source.equals(other.source) && incarnation == other.incarnation;
    }

    /**
     * Adds up summaries of different sources into one summary of {@code source}. Routes beyond
     * {@link #MAX_ROUTES} are dropped.
     */
    public static BurnSummary merge(
            String source, long incarnation, Iterable<BurnSummary> summaries) {
        Map<String, RequestCounts> sum = new TreeMap<>();
        long atMillis = 0;
        for (BurnSummary summary : summaries) {
            summary.routes.forEach(
                    (route, counts) -> {
                        if (sum.size() < MAX_ROUTES || sum.containsKey(route)) {
                            sum.merge(route, counts, RequestCounts::plus);
                        }
                    });
            atMillis = Math.max(atMillis, summary.atMillis);
        }
        return new BurnSummary(source, incarnation, atMillis, ImmutableSortedMap.copyOf(sum));
    }

    /** Encodes the summary in at most {@link #MAX_BYTES} bytes. */
    public byte[] toBytes() {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + routes.size() * ROUTE_BYTES);
        writeName(buffer, source);
        buffer.putLong(incarnation).putLong(atMillis).put((byte) routes.size());
        routes.forEach(
                (route, counts) -> {
                    writeName(buffer, route);
                    buffer.putLong(counts.lastMinute());
                    counts.good().forEach(buffer::putLong);
                    counts.total().forEach(buffer::putLong);
                });
        byte[] bytes = new byte[buffer.position()];
        buffer.flip().get(bytes);
        return bytes;
    }

    /**
     * Decodes a summary.
     *
     * @throws IllegalArgumentException if the bytes are truncated, too long or hold invalid counts
     */
    public static BurnSummary fromBytes(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        try {
            String source = readName(buffer);
            long incarnation = buffer.getLong();
            long atMillis = buffer.getLong();
            int count = Byte.toUnsignedInt(buffer.get());
            Map<String, RequestCounts> routes = new TreeMap<>();
            for (int i = 0; i < count; i++) {
                String route = readName(buffer);
                routes.put(
                        route,
                        new RequestCounts(
                                buffer.getLong(), readCounts(buffer), readCounts(buffer)));
            }
            checkArgument(
                    !buffer.hasRemaining(),
                    "%s unexpected bytes after the summary",
                    buffer.remaining());
            return new BurnSummary(
                    source, incarnation, atMillis, ImmutableSortedMap.copyOf(routes));
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException(
                    "summary is truncated after " + bytes.length + " bytes", e);
        }
    }

    private static void checkName(String name) {
        int length = name.getBytes(StandardCharsets.UTF_8).length;
        checkArgument(
                length > 0 && length <= MAX_NAME_BYTES,
                "name length is not between 1 and 255 bytes: %s",
                length);
    }

    private static void writeName(ByteBuffer buffer, String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        buffer.put((byte) bytes.length).put(bytes);
    }

    private static String readName(ByteBuffer buffer) {
        byte[] bytes = new byte[Byte.toUnsignedInt(buffer.get())];
        buffer.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static ImmutableLongArray readCounts(ByteBuffer buffer) {
        ImmutableLongArray.Builder counts = ImmutableLongArray.builder(RequestCounts.MINUTES);
        for (int i = 0; i < RequestCounts.MINUTES; i++) {
            counts.add(buffer.getLong());
        }
        return counts.build();
    }
}
