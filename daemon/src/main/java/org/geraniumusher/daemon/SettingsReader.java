package org.geraniumusher.daemon;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.google.common.collect.ImmutableList;

import org.geraniumusher.daemon.SettingsResult.Invalid;
import org.geraniumusher.daemon.SettingsResult.Loaded;
import org.geraniumusher.daemon.SettingsResult.Problem;
import org.geraniumusher.model.Address;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/**
 * Reads settings from TOML and checks every key before anything starts. All problems are reported
 * together. An instance reads one text; not thread-safe.
 */
public final class SettingsReader {
    private static final TomlMapper MAPPER = new TomlMapper();
    private static final String ABSENT = "(absent)";
    private static final String FILE_KEY = "(file)";
    private static final ImmutableList<SettingKey> LISTENING =
            ImmutableList.of(
                    SettingKey.CALLER, SettingKey.FORWARD, SettingKey.PEER, SettingKey.OPERATOR);

    private final Map<String, JsonNode> mLeaves = new TreeMap<>();
    private final Map<SettingKey, String> mTexts = new EnumMap<>(SettingKey.class);
    private final List<Problem> mProblems = new ArrayList<>();

    private SettingsReader() {}

    /** Reads a file; one that cannot be read is a problem of the key {@code (file)}. */
    public static SettingsResult read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            return fileProblem(file.toString(), "a file that can be read (" + e + ")");
        }
    }

    /** Reads TOML text. */
    public static SettingsResult parse(String toml) {
        JsonNode root;
        try {
            root = MAPPER.readTree(toml);
        } catch (JacksonException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            return fileProblem("line " + line, "TOML (" + e.getOriginalMessage() + ")");
        }
        SettingsReader reader = new SettingsReader();
        reader.collectLeaves("", root);
        return reader.check();
    }

    private static Invalid fileProblem(String value, String allowed) {
        return new Invalid(List.of(new Problem(FILE_KEY, value, allowed)));
    }

    private void collectLeaves(String prefix, JsonNode node) {
        node.properties()
                .forEach(
                        entry -> {
                            String path = prefix + entry.getKey();
                            if (entry.getValue().isObject() && !entry.getValue().isEmpty()) {
                                collectLeaves(path + ".", entry.getValue());
                            } else {
                                mLeaves.put(path, entry.getValue());
                            }
                        });
    }

    private SettingsResult check() {
        for (SettingKey key : SettingKey.values()) {
            checkKey(key);
        }
        checkDistinctAddresses();
        mLeaves.forEach(
                (path, node) -> mProblems.add(new Problem(path, node.toString(), "no such key")));
        return mProblems.isEmpty() ? new Loaded(build()) : new Invalid(mProblems);
    }

    private void checkKey(SettingKey key) {
        JsonNode node = mLeaves.remove(key.path());
        if (node == null && key.isRequired()) {
            mProblems.add(new Problem(key.path(), ABSENT, key.allowed()));
        } else if (node == null) {
            mTexts.put(key, key.isList() ? "" : key.defaultText());
        } else if (!hasRightType(key, node) || !key.accepts(textOf(node))) {
            mProblems.add(new Problem(key.path(), node.toString(), key.allowed()));
        } else {
            mTexts.put(key, textOf(node));
        }
    }

    private static boolean hasRightType(SettingKey key, JsonNode node) {
        if (key.isList()) {
            return node.isArray()
                    && StreamSupport.stream(node.spliterator(), false)
                            .allMatch(JsonNode::isTextual);
        }
        return key.isNumber() ? node.isIntegralNumber() : node.isTextual();
    }

    private static String textOf(JsonNode node) {
        return node.isArray()
                ? StreamSupport.stream(node.spliterator(), false)
                        .map(JsonNode::asText)
                        .collect(Collectors.joining("\n"))
                : node.asText();
    }

    private void checkDistinctAddresses() {
        Map<String, SettingKey> seen = new HashMap<>();
        for (SettingKey key : LISTENING) {
            String text = mTexts.get(key);
            SettingKey other = text == null ? null : seen.putIfAbsent(text, key);
            if (other != null) {
                mProblems.add(
                        new Problem(key.path(), text, "an address other than " + other.path()));
            }
        }
    }

    private Settings build() {
        Limits.Builder limits = Limits.builder();
        mTexts.forEach(
                (key, text) -> {
                    if (key.isNumber()) {
                        limits.set(key, Integer.parseInt(text));
                    }
                });
        return Settings.builder()
                .name(text(SettingKey.NAME))
                .place(text(SettingKey.DATA_CENTRE), text(SettingKey.REGION))
                .caller(address(SettingKey.CALLER))
                .forward(address(SettingKey.FORWARD))
                .peer(address(SettingKey.PEER))
                .operator(address(SettingKey.OPERATOR))
                .platform(address(SettingKey.PLATFORM))
                .seeds(text(SettingKey.SEEDS).lines().map(Address::of).toList())
                .limits(limits.build())
                .logLevel(LogLevel.ofText(text(SettingKey.LOG_LEVEL)).orElseThrow())
                .build();
    }

    private String text(SettingKey key) {
        return mTexts.get(key);
    }

    private Address address(SettingKey key) {
        return Address.of(text(key));
    }
}
