package org.corianderweir.logic.steering.grammar;

import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;

/**
 * Creates the exceptions for syntax errors in selector text. The message gives the line, the
 * column, what was read and what is allowed.
 */
final class SyntaxErrors {
  private SyntaxErrors() {}

  static WeirException unexpected(Token token, String expected) {
    String found =
        token.kind() == TokenKind.END ? TokenKind.END.description() : "'" + token.text() + "'";
    return unexpected(token.line(), token.column(), found, expected);
  }

  static WeirException unexpected(int line, int column, String found, String expected) {
    return new WeirException(
        ErrorCode.CONFIGURATION_INVALID,
        "selector, line "
            + line
            + ", column "
            + column
            + ": read "
            + found
            + "; allowed: "
            + expected);
  }
}
