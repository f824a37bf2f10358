import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader for the bodies that the stand-in of the store gets. */
final class Json {
  private final String text;
  private int position;

  private Json(String text) {
    this.text = text;
  }

  /** Returns maps, lists, texts, numbers (as Long or Double), booleans or null. */
  static Object parse(String text) {
    return new Json(text).value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return text.isBlank() ? Map.of() : (Map<String, Object>) parse(text);
  }

  static String quote(String text) {
    StringBuilder quoted = new StringBuilder("\"");
    for (char character : text.toCharArray()) {
      if (character == '"' || character == '\\') {
        quoted.append('\\');
      }
      quoted.append(character);
    }
    return quoted.append('"').toString();
  }

  private char next() {
    while (Character.isWhitespace(text.charAt(position))) {
      position++;
    }
    return text.charAt(position);
  }

  private Object value() {
    char first = next();
    switch (first) {
      case '{':
        return members();
      case '[':
        return elements();
      case '"':
        return string();
      default:
        int begin = position;
        while (position < text.length() && ",]} \n".indexOf(text.charAt(position)) < 0) {
          position++;
        }
        String word = text.substring(begin, position);
        return switch (word) {
          case "null" -> null;
          case "true" -> true;
          case "false" -> false;
          default -> word.contains(".") ? (Object) Double.valueOf(word) : Long.valueOf(word);
        };
    }
  }

  private Map<String, Object> members() {
    Map<String, Object> members = new LinkedHashMap<>();
    position++;
    while (next() != '}') {
      if (next() == ',') {
        position++;
        next();
      }
      String name = string();
      next();
      position++;
      members.put(name, value());
    }
    position++;
    return members;
  }

  private List<Object> elements() {
    List<Object> elements = new ArrayList<>();
    position++;
    while (next() != ']') {
      if (next() == ',') {
        position++;
      }
      elements.add(value());
    }
    position++;
    return elements;
  }

  private String string() {
    StringBuilder string = new StringBuilder();
    position++;
    while (text.charAt(position) != '"') {
      if (text.charAt(position) == '\\') {
        position++;
      }
      string.append(text.charAt(position++));
    }
    position++;
    return string.toString();
  }
}
