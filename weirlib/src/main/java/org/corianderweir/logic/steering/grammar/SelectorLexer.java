package org.corianderweir.logic.steering.grammar;

import java.util.ArrayList;
import java.util.List;

/** Splits selector text into tokens. A comment runs from {@code #} to the end of its line. */
final class SelectorLexer {
  private static final String ALLOWED_TOKENS =
      "a name, a path, a number, a text in double quotes or one of ( ) , . = != %";

  private final String text;
  private int position;
  private int line = 1;
  private int lineStart;

  private SelectorLexer(String text) {
    this.text = text;
  }

  /** Returns the tokens of a text; the last one is of kind {@link TokenKind#END}. */
  static List<Token> tokens(String text) {
    SelectorLexer lexer = new SelectorLexer(text);
    List<Token> tokens = new ArrayList<>();
    Token token = lexer.next();
    while (token.kind() != TokenKind.END) {
      tokens.add(token);
      token = lexer.next();
    }
    tokens.add(token);
    return tokens;
  }

  private Token next() {
    skipWhitespaceAndComments();
    int column = column();
    if (position == text.length()) {
      return new Token(TokenKind.END, "", line, column);
    }
    char first = text.charAt(position);
    if (isWordStart(first)) {
      return token(TokenKind.WORD, endWhile(SelectorLexer::isWordPart), column);
    }
    if (first == '/') {
      return token(TokenKind.PATH, endWhile(SelectorLexer::isPathPart), column);
    }
    if (isDigit(first)) {
      return token(TokenKind.NUMBER, endWhile(each -> isDigit(each) || each == '.'), column);
    }
    if (first == '"') {
      return quotedText(column);
    }
    if (text.startsWith("!=", position)) {
      return token(TokenKind.SYMBOL, position + 2, column);
    }
    if ("(),.=%".indexOf(first) >= 0) {
      return token(TokenKind.SYMBOL, position + 1, column);
    }
    throw SyntaxErrors.unexpected(line, column, "'" + first + "'", ALLOWED_TOKENS);
  }

  private void skipWhitespaceAndComments() {
    boolean comment = false;
    while (position < text.length()) {
      char current = text.charAt(position);
      comment = current != '\n' && (comment || current == '#');
      if (!comment && !Character.isWhitespace(current)) {
        return;
      }
      position++;
      if (current == '\n') {
        line++;
        lineStart = position;
      }
    }
  }

  private Token quotedText(int column) {
    StringBuilder content = new StringBuilder();
    int index = position + 1;
    while (index < text.length() && text.charAt(index) != '"' && text.charAt(index) != '\n') {
      boolean escape = text.charAt(index) == '\\' && isEscapable(index + 1);
      index += escape ? 1 : 0;
      content.append(text.charAt(index));
      index++;
    }
    if (index >= text.length() || text.charAt(index) != '"') {
      throw SyntaxErrors.unexpected(
          line, column, "a text without its closing quote", "a text in double quotes on one line");
    }
    position = index + 1;
    return new Token(TokenKind.TEXT, content.toString(), line, column);
  }

  private boolean isEscapable(int index) {
    return index < text.length() && (text.charAt(index) == '"' || text.charAt(index) == '\\');
  }

  private Token token(TokenKind kind, int end, int column) {
    String content = text.substring(position, end);
    position = end;
    return new Token(kind, content, line, column);
  }

  private int endWhile(CharacterPredicate test) {
    int end = position + 1;
    while (end < text.length() && test.matches(text.charAt(end))) {
      end++;
    }
    return end;
  }

  private int column() {
    return position - lineStart + 1;
  }

  private interface CharacterPredicate {
    boolean matches(char character);
  }

  static boolean isWord(String candidate) {
    return !candidate.isEmpty()
        && isWordStart(candidate.charAt(0))
        && candidate.chars().allMatch(each -> isWordPart((char) each));
  }

  static boolean isPath(String candidate) {
    return candidate.startsWith("/") && candidate.chars().allMatch(each -> isPathPart((char) each));
  }

  private static boolean isWordStart(char character) {
    return (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z')
        || character == '_';
  }

  private static boolean isWordPart(char character) {
    return isWordStart(character) || isDigit(character) || character == '-';
  }

  private static boolean isPathPart(char character) {
    return isWordPart(character) || "/.~%:@!$&'*+;=".indexOf(character) >= 0;
  }

  private static boolean isDigit(char character) {
    return character >= '0' && character <= '9';
  }
}
