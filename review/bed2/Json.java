import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON, as far as the calls of the store need it. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    static String quote(String text) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        return out.append('"').toString();
    }

    private char peek() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private Object value() {
        switch (peek()) {
            case '{': return object();
            case '[': return list();
            case '"': return string();
            default:
                int from = at;
                while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
                String word = text.substring(from, at);
                if (word.equals("null")) return null;
                if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
                return Double.valueOf(word);
        }
    }

    private Map<String, Object> object() {
        Map<String, Object> found = new LinkedHashMap<>();
        at++;
        while (peek() != '}') {
            String key = string();
            peek();
            at++;
            found.put(key, value());
            if (peek() == ',') at++;
        }
        at++;
        return found;
    }

    private List<Object> list() {
        List<Object> found = new ArrayList<>();
        at++;
        while (peek() != ']') {
            found.add(value());
            if (peek() == ',') at++;
        }
        at++;
        return found;
    }

    private String string() {
        peek();
        at++;
        StringBuilder out = new StringBuilder();
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n': out.append('\n'); break;
                case 't': out.append('\t'); break;
                case 'r': out.append('\r'); break;
                case 'b': out.append('\b'); break;
                case 'f': out.append('\f'); break;
                case 'u':
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default: out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }
}
