package org.corianderweir.logic.steering.grammar;

import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;

/** Words the errors of selector text: where, what was read, what is allowed. */
final class GrammarErrors {
  private GrammarErrors() {}

  static WeirException at(Token token, String allowed) {
    String read =
        token.kind() == TokenKind.END ? TokenKind.END.description() : "'" + token.text() + "'";
    return at(token.line(), token.column(), read, allowed);
  }

  static WeirException at(int line, int column, String read, String allowed) {
    return new WeirException(
        ErrorCode.CONFIGURATION_INVALID,
        "selector, line "
            + line
            + ", column "
            + column
            + ": read "
            + read
            + "; allowed: "
            + allowed);
  }
}
