package org.corianderweir.logic.steering.grammar;

/**
 * A token and where it begins.
 *
 * @param kind what it is
 * @param text its content; of a text in quotes without the quotes and escapes
 * @param line line, from 1
 * @param column column, from 1
 */
record Token(TokenKind kind, String text, int line, int column) {
  boolean is(TokenKind otherKind, String otherText) {
    return kind == otherKind && text.equals(otherText);
  }
}
