package org.corianderweir.logic.steering.grammar;

/**
 * A token of selector text and its position.
 *
 * @param kind kind of the token
 * @param text its content; for a text in double quotes, without the quotes and escapes
 * @param line line in which it begins, from 1
 * @param column column at which it begins, from 1
 */
record Token(TokenKind kind, String text, int line, int column) {
  boolean is(TokenKind otherKind, String otherText) {
    return kind == otherKind && text.equals(otherText);
  }
}
