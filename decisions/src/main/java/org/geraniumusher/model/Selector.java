package org.geraniumusher.model;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Selects objects by their labels. A selector is a comma-separated list of terms, all of which must
 * match.
 *
 * <p>Terms are {@code a=b}, {@code a!=b}, {@code a in (b,c)}, {@code a notin (b,c)}, {@code a} (the
 * label exists) and {@code !a} (it does not). {@code !=} and {@code notin} also match an object
 * that lacks the label. An empty selector matches every object. Immutable and thread-safe.
 */
public final class Selector {
    private static final Pattern SET_TERM =
            Pattern.compile("([A-Za-z0-9._/-]+)\\s+(in|notin)\\s*\\(([^()]*)\\)");
    private static final Pattern VALUE_TERM =
            Pattern.compile("([A-Za-z0-9._/-]+)\\s*(!=|==|=)\\s*([A-Za-z0-9._/-]*)");
    private static final Pattern EXISTS_TERM = Pattern.compile("(!?)\\s*([A-Za-z0-9._/-]+)");

    private final String mText;
    private final ImmutableList<Term> mTerms;

    private Selector(String text, ImmutableList<Term> terms) {
        mText = text;
        mTerms = terms;
    }

    /**
     * Parses a selector.
     *
     * @throws IllegalArgumentException if a term is malformed; the message contains the term
     */
    @JsonCreator
    public static Selector of(String text) {
        ImmutableList.Builder<Term> terms = ImmutableList.builder();
        for (String part : splitTerms(text)) {
            terms.add(parseTerm(part.strip()));
        }
        return new Selector(text.strip(), terms.build());
    }

    /** Returns whether every term matches {@code labels}, with one or two map lookups per term. */
    public boolean matches(Labels labels) {
        return mTerms.stream().allMatch(term -> term.matches(labels));
    }

    @JsonValue
    @Override
    public String toString() {
        return mText;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Selector selector && mTerms.equals(selector.mTerms);
    }

    @Override
    public int hashCode() {
        return mTerms.hashCode();
    }

    private static ImmutableList<String> splitTerms(String text) {
        ImmutableList.Builder<String> parts = ImmutableList.builder();
        int depth = 0;
        int start = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '(') {
                depth++;
            } else if (c == ')') {
                depth--;
            } else if (c == ',' && depth == 0) {
                parts.add(text.substring(start, i));
                start = i + 1;
            }
        }
        if (!text.isBlank()) {
            parts.add(text.substring(start));
        }
        return parts.build();
    }

    private static Term parseTerm(String text) {
        Matcher set = SET_TERM.matcher(text);
        if (set.matches()) {
            ImmutableSet.Builder<String> values = ImmutableSet.builder();
            for (String value : set.group(3).split(",")) {
                values.add(value.strip());
            }
            return new Term(
                    set.group(1),
                    set.group(2).equals("in") ? Operator.IN : Operator.NOT_IN,
                    values.build());
        }
        Matcher value = VALUE_TERM.matcher(text);
        if (value.matches()) {
            return new Term(
                    value.group(1),
                    value.group(2).equals("!=") ? Operator.NOT_IN : Operator.IN,
                    ImmutableSet.of(value.group(3)));
        }
        Matcher exists = EXISTS_TERM.matcher(text);
        checkArgument(exists.matches(), "invalid selector term: %s", text);
        return new Term(
                exists.group(2),
                exists.group(1).isEmpty() ? Operator.EXISTS : Operator.ABSENT,
                ImmutableSet.of());
    }

    /** How a term compares a label with its values. */
    private enum Operator {
        IN {
            @Override
            boolean matches(Labels labels, Term term) {
                return labels.get(term.name()).map(term.values()::contains).orElse(false);
            }
        },
        NOT_IN {
            @Override
            boolean matches(Labels labels, Term term) {
                return !IN.matches(labels, term);
            }
        },
        EXISTS {
            @Override
            boolean matches(Labels labels, Term term) {
                return labels.get(term.name()).isPresent();
            }
        },
        ABSENT {
            @Override
            boolean matches(Labels labels, Term term) {
                return !EXISTS.matches(labels, term);
            }
        };

        abstract boolean matches(Labels labels, Term term);
    }

    private record Term(String name, Operator operator, ImmutableSet<String> values) {
        boolean matches(Labels labels) {
            return operator.matches(labels, this);
        }
    }
}
