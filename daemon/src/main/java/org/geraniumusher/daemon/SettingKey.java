package org.geraniumusher.daemon;

/**
 * Lists every key of the settings file with unit, default and allowed values; {@code
 * docs/configuration.md} holds the same table.
 */
enum SettingKey {
    NAME("name", "", "", ValueRule.name(), "Name of the daemon, unique among all daemons."),
    DATA_CENTRE("data_centre", "", "", ValueRule.name(), "Data centre of the daemon."),
    REGION("region", "", "", ValueRule.name(), "Region of the data centre."),
    LOG_LEVEL("log_level", "", "info", ValueRule.level(), "Lowest level that is logged."),
    SEEDS("seeds", "", "[]", ValueRule.addresses(), "Peer addresses of daemons asked first."),
    CALLER("addresses.caller", "", "", ValueRule.address(), "Requests of callers, HTTP."),
    FORWARD("addresses.forward", "", "", ValueRule.address(), "Requests from daemons, HTTP."),
    PEER("addresses.peer", "", "", ValueRule.address(), "Messages of daemons, UDP and TCP."),
    OPERATOR("addresses.operator", "", "", ValueRule.address(), "Operator port, HTTP."),
    PLATFORM("addresses.platform", "", "", ValueRule.address(), "Platform's object API, HTTP."),
    MAX_HEADER_BYTES(
            "limits.max_header_bytes",
            "bytes",
            "16384",
            ValueRule.number(1_024, 262_144),
            "Largest header of a request."),
    MAX_INITIAL_LINE_BYTES(
            "limits.max_initial_line_bytes",
            "bytes",
            "8192",
            ValueRule.number(256, 65_536),
            "Longest request line."),
    MAX_CONNECTIONS(
            "limits.max_connections",
            "connections",
            "4096",
            ValueRule.number(1, 100_000),
            "Connections of callers open at once."),
    IDLE_TIMEOUT(
            "limits.idle_timeout_ms",
            "ms",
            "60000",
            ValueRule.number(1_000, 3_600_000),
            "Time after which a connection without a request is closed."),
    REQUEST_TIMEOUT(
            "limits.request_timeout_ms",
            "ms",
            "60000",
            ValueRule.number(100, 600_000),
            "Longest time of a request, whatever its route allows."),
    DRAIN_TIMEOUT(
            "limits.drain_timeout_ms",
            "ms",
            "30000",
            ValueRule.number(0, 600_000),
            "Longest time that a graceful stop waits for requests in flight."),
    QUEUE_PER_SERVER(
            "limits.queue_per_server",
            "requests",
            "64",
            ValueRule.number(1, 10_000),
            "Requests that wait for one backend server."),
    // Today's backend servers take 120 to 130 connections; two daemons may share a server while
    // their views of the members differ, so one daemon gets less than half.
    CONNECTIONS_PER_SERVER(
            "limits.connections_per_server",
            "connections",
            "12",
            ValueRule.number(1, 60),
            "Connections to one backend server."),
    RING_CAPACITY(
            "limits.ring_capacity",
            "messages",
            "4096",
            ValueRule.powerOfTwo(64, 1_048_576),
            "Messages that fit between two duties."),
    IO_THREADS(
            "limits.io_threads",
            "threads",
            "2",
            ValueRule.number(1, 64),
            "Threads that serve sockets.");

    private final String mPath;
    private final String mUnit;
    private final String mDefaultText;
    private final ValueRule<?> mRule;
    private final String mMeaning;

    SettingKey(String path, String unit, String defaultText, ValueRule<?> rule, String meaning) {
        mPath = path;
        mUnit = unit;
        mDefaultText = defaultText;
        mRule = rule;
        mMeaning = meaning;
    }

    /** Returns the dotted path in the file. */
    String path() {
        return mPath;
    }

    /** Returns the unit, or "" when there is none. */
    String unit() {
        return mUnit;
    }

    /** Returns the default as it would stand in the file, or "" for a required key. */
    String defaultText() {
        return mDefaultText;
    }

    /** Returns what is allowed. */
    String allowed() {
        return mRule.allowed();
    }

    /** Returns the meaning in one sentence. */
    String meaning() {
        return mMeaning;
    }

    /** Reports whether the value is an array. */
    boolean isList() {
        return mRule.list();
    }

    /** Reports whether the value is a number. */
    boolean isNumber() {
        return !mUnit.isEmpty();
    }

    /** Reports whether the file must contain the key. */
    boolean isRequired() {
        return mDefaultText.isEmpty();
    }

    /** Reports whether {@code text} is an allowed value. */
    boolean accepts(String text) {
        return mRule.parser().apply(text).isPresent();
    }
}
