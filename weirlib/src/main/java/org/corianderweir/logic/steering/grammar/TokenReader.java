package org.corianderweir.logic.steering.grammar;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Reads tokens one after another and reports those that are not allowed. */
final class TokenReader {
  private final List<Token> tokens;
  private int position;

  TokenReader(List<Token> tokens) {
    this.tokens = tokens;
  }

  Token peek() {
    return tokens.get(position);
  }

  boolean tryWord(String word) {
    return tryToken(TokenKind.WORD, word);
  }

  boolean trySymbol(String symbol) {
    return tryToken(TokenKind.SYMBOL, symbol);
  }

  void word(String word) {
    if (!tryWord(word)) {
      throw GrammarErrors.at(peek(), "'" + word + "'");
    }
  }

  void symbol(String symbol) {
    if (!trySymbol(symbol)) {
      throw GrammarErrors.at(peek(), "'" + symbol + "'");
    }
  }

  String name(String meaning) {
    Token token = peek();
    if (token.kind() != TokenKind.WORD && token.kind() != TokenKind.TEXT) {
      throw GrammarErrors.at(token, meaning);
    }
    position++;
    return token.text();
  }

  String path() {
    Token token = peek();
    if (token.kind() != TokenKind.PATH) {
      throw GrammarErrors.at(token, TokenKind.PATH.description());
    }
    position++;
    return token.text();
  }

  int integer(int minimum, int maximum) {
    Token token = peek();
    String allowed = "a whole number from " + minimum + " to " + maximum;
    if (token.kind() != TokenKind.NUMBER) {
      throw GrammarErrors.at(token, allowed);
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
    throw GrammarErrors.at(token, allowed);
  }

  /** Reads a percentage and returns it as a share from 0 to 1. */
  double percentage() {
    Token token = peek();
    String allowed = "a percentage above 0 up to 100";
    if (token.kind() != TokenKind.NUMBER) {
      throw GrammarErrors.at(token, allowed);
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
    throw GrammarErrors.at(token, allowed);
  }

  <T> List<T> list(Supplier<T> element) {
    symbol("(");
    List<T> elements = new ArrayList<>();
    do {
      elements.add(element.get());
    } while (trySymbol(","));
    if (!trySymbol(")")) {
      throw GrammarErrors.at(peek(), "',' or ')'");
    }
    return elements;
  }

  private boolean tryToken(TokenKind kind, String text) {
    boolean found = peek().is(kind, text);
    position += found ? 1 : 0;
    return found;
  }
}
