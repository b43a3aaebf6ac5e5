package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays lists, numbers Long or Double. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.skipSpace();
        if (json.mAt != text.length()) {
            throw new IllegalArgumentException("text after the value");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> parseObject(String text) {
        return (Map<String, Object>) parse(text);
    }

    private void skipSpace() {
        while (mAt < mText.length() && mText.charAt(mAt) <= ' ') {
            mAt++;
        }
    }

    private Object value() {
        skipSpace();
        char c = mText.charAt(mAt);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            mAt++;
            skipSpace();
            while (mText.charAt(mAt) != '}') {
                String name = (String) value();
                skipSpace();
                mAt++;
                map.put(name, value());
                skipSpace();
                if (mText.charAt(mAt) == ',') {
                    mAt++;
                    skipSpace();
                }
            }
            mAt++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            mAt++;
            skipSpace();
            while (mText.charAt(mAt) != ']') {
                list.add(value());
                skipSpace();
                if (mText.charAt(mAt) == ',') {
                    mAt++;
                    skipSpace();
                }
            }
            mAt++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int start = mAt;
        while (mAt < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(start, mAt);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> {
                if (word.matches("-?\\d{1,18}")) {
                    yield Long.valueOf(word);
                }
                yield Double.valueOf(word);
            }
        };
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        mAt++;
        while (mText.charAt(mAt) != '"') {
            char c = mText.charAt(mAt++);
            if (c == '\\') {
                char e = mText.charAt(mAt++);
                switch (e) {
                    case 'n' -> result.append('\n');
                    case 't' -> result.append('\t');
                    case 'r' -> result.append('\r');
                    case 'b' -> result.append('\b');
                    case 'f' -> result.append('\f');
                    case 'u' -> {
                        result.append((char) Integer.parseInt(mText.substring(mAt, mAt + 4), 16));
                        mAt += 4;
                    }
                    default -> result.append(e);
                }
            } else {
                result.append(c);
            }
        }
        mAt++;
        return result.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        append(out, value);
        return out.toString();
    }

    private static void append(StringBuilder out, Object value) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                append(out, entry.getKey());
                out.append(':');
                append(out, entry.getValue());
                separator = ",";
            }
            out.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            String separator = "[";
            for (Object element : list) {
                out.append(separator);
                append(out, element);
                separator = ",";
            }
            out.append(list.isEmpty() ? "[]" : "]");
        } else if (value instanceof String text) {
            out.append('"');
            for (char c : text.toCharArray()) {
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < ' ') {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
