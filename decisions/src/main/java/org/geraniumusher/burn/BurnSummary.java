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
 * Holds what one incarnation of a daemon has counted in the last hour, to be handed to peers or to
 * the store. A later summary of the same source replaces an earlier one, so it may be sent again
 * and again. Immutable and thread-safe.
 *
 * @param source daemon that counted
 * @param incarnation start time of that daemon
 * @param atMillis wall-clock time of the summary, in milliseconds since 1970
 */
public record BurnSummary(
        String source,
        long incarnation,
        long atMillis,
        ImmutableSortedMap<String, RouteMinutes> routes) {
    /** Routes in a summary at most. */
    public static final int MAX_ROUTES = 64;

    /** Longest name of a source or a route, in bytes of UTF-8. */
    public static final int MAX_NAME_BYTES = 255;

    private static final int HEADER_BYTES = 1 + MAX_NAME_BYTES + 2 * Long.BYTES + 1;
    private static final int ROUTE_BYTES =
            1 + MAX_NAME_BYTES + Long.BYTES + 2 * RouteMinutes.MINUTES * Long.BYTES;

    /** Largest encoded summary: 79,633 bytes. */
    public static final int MAX_BYTES = HEADER_BYTES + MAX_ROUTES * ROUTE_BYTES;

    /** Checks names and the number of routes. */
    public BurnSummary {
        checkName(source);
        routes.keySet().forEach(BurnSummary::checkName);
        checkArgument(routes.size() <= MAX_ROUTES, "too many routes: %s", routes.size());
    }

    /** Reports whether {@code other} comes from the same incarnation of the same daemon. */
    boolean hasSourceOf(BurnSummary other) {
        return source.equals(other.source) && incarnation == other.incarnation;
    }

    /** Adds up the routes of summaries of different sources under a common source name. */
    public static BurnSummary merge(
            String source, long incarnation, Iterable<BurnSummary> summaries) {
        Map<String, RouteMinutes> sum = new TreeMap<>();
        long atMillis = 0;
        for (BurnSummary summary : summaries) {
            summary.routes.forEach(
                    (route, minutes) -> {
                        if (sum.size() < MAX_ROUTES || sum.containsKey(route)) {
                            sum.merge(route, minutes, RouteMinutes::plus);
                        }
                    });
            atMillis = Math.max(atMillis, summary.atMillis);
        }
        return new BurnSummary(source, incarnation, atMillis, ImmutableSortedMap.copyOf(sum));
    }

    /** Encodes the summary in at most {@link #MAX_BYTES} bytes. */
    public byte[] toBytes() {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + routes.size() * ROUTE_BYTES);
        putName(buffer, source);
        buffer.putLong(incarnation).putLong(atMillis).put((byte) routes.size());
        routes.forEach(
                (route, minutes) -> {
                    putName(buffer, route);
                    buffer.putLong(minutes.lastMinute());
                    minutes.good().forEach(buffer::putLong);
                    minutes.total().forEach(buffer::putLong);
                });
        byte[] bytes = new byte[buffer.position()];
        buffer.flip().get(bytes);
        return bytes;
    }

    /** Decodes a summary; throws {@link IllegalArgumentException} when it is damaged. */
    public static BurnSummary fromBytes(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        try {
            String source = getName(buffer);
            long incarnation = buffer.getLong();
            long atMillis = buffer.getLong();
            int count = Byte.toUnsignedInt(buffer.get());
            Map<String, RouteMinutes> routes = new TreeMap<>();
            for (int i = 0; i < count; i++) {
                String route = getName(buffer);
                routes.put(
                        route,
                        new RouteMinutes(buffer.getLong(), getCounts(buffer), getCounts(buffer)));
            }
            checkArgument(!buffer.hasRemaining(), "%s bytes too many", buffer.remaining());
            return new BurnSummary(
                    source, incarnation, atMillis, ImmutableSortedMap.copyOf(routes));
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("summary ends after " + bytes.length + " bytes", e);
        }
    }

    private static void checkName(String name) {
        int length = name.getBytes(StandardCharsets.UTF_8).length;
        checkArgument(length > 0 && length <= MAX_NAME_BYTES, "bad length of a name: %s", length);
    }

    private static void putName(ByteBuffer buffer, String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        buffer.put((byte) bytes.length).put(bytes);
    }

    private static String getName(ByteBuffer buffer) {
        byte[] bytes = new byte[Byte.toUnsignedInt(buffer.get())];
        buffer.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static ImmutableLongArray getCounts(ByteBuffer buffer) {
        ImmutableLongArray.Builder counts = ImmutableLongArray.builder(RouteMinutes.MINUTES);
        for (int i = 0; i < RouteMinutes.MINUTES; i++) {
            counts.add(buffer.getLong());
        }
        return counts.build();
    }
}
