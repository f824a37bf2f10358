package org.corianderweir.logic.steering.grammar;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Reads a list of tokens in order. The methods {@code accept...} read a token only if it is the
 * given one; the others throw {@link org.corianderweir.model.WeirException} with code {@code
 * CONFIGURATION_INVALID} if the next token is not allowed.
 */
final class TokenReader {
  private final List<Token> tokens;
  private int position;

  TokenReader(List<Token> tokens) {
    this.tokens = tokens;
  }

  Token peek() {
    return tokens.get(position);
  }

  boolean acceptWord(String word) {
    return accept(TokenKind.WORD, word);
  }

  boolean acceptSymbol(String symbol) {
    return accept(TokenKind.SYMBOL, symbol);
  }

  void expectWord(String word) {
    if (!acceptWord(word)) {
      throw SyntaxErrors.unexpected(peek(), "'" + word + "'");
    }
  }

  void expectSymbol(String symbol) {
    if (!acceptSymbol(symbol)) {
      throw SyntaxErrors.unexpected(peek(), "'" + symbol + "'");
    }
  }

  String readName(String expected) {
    Token token = peek();
    if (token.kind() != TokenKind.WORD && token.kind() != TokenKind.TEXT) {
      throw SyntaxErrors.unexpected(token, expected);
    }
    position++;
    return token.text();
  }

  String readPath() {
    Token token = peek();
    if (token.kind() != TokenKind.PATH) {
      throw SyntaxErrors.unexpected(token, TokenKind.PATH.description());
    }
    position++;
    return token.text();
  }

  int readInteger(int minimum, int maximum) {
    Token token = peek();
    String expected = "a whole number from " + minimum + " to " + maximum;
    if (token.kind() != TokenKind.NUMBER) {
      throw SyntaxErrors.unexpected(token, expected);
    }
    try {
      int value = Integer.parseInt(token.text());
      if (value >= minimum && value <= maximum) {
        position++;
        return value;
      }
    } catch (NumberFormatException notWhole) {
      // Reported below together with numbers out of range.
    }
    throw SyntaxErrors.unexpected(token, expected);
  }

  /** Reads a percentage above 0 up to 100 and returns it as a share from 0 to 1. */
  double readPercentage() {
    Token token = peek();
    String expected = "a percentage above 0 up to 100";
    if (token.kind() != TokenKind.NUMBER) {
      throw SyntaxErrors.unexpected(token, expected);
    }
    try {
      double share = new BigDecimal(token.text()).movePointLeft(2).doubleValue();
      if (share > 0 && share <= 1) {
        position++;
        return share;
      }
    } catch (NumberFormatException notNumeric) {
      // Reported below together with numbers out of range.
    }
    throw SyntaxErrors.unexpected(token, expected);
  }

  <T> List<T> readList(Supplier<T> element) {
    expectSymbol("(");
    List<T> elements = new ArrayList<>();
    do {
      elements.add(element.get());
    } while (acceptSymbol(","));
    if (!acceptSymbol(")")) {
      throw SyntaxErrors.unexpected(peek(), "',' or ')'");
    }
    return elements;
  }

  private boolean accept(TokenKind kind, String text) {
    boolean found = peek().is(kind, text);
    position += found ? 1 : 0;
    return found;
  }
}
