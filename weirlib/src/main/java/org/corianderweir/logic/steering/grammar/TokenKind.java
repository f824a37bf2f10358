package org.corianderweir.logic.steering.grammar;

/** The kinds of tokens of selector text. */
enum TokenKind {
  /** A keyword or a name. */
  WORD("a name"),
  /** A path; begins with a slash. */
  PATH("a path that begins with /"),
  /** A text in double quotes. */
  TEXT("a text in double quotes"),
  /** A number without a sign. */
  NUMBER("a number"),
  /** One of the symbols of the grammar. */
  SYMBOL("a symbol"),
  /** The end of the text. */
  END("the end of the text");

  private final String description;

  TokenKind(String description) {
    this.description = description;
  }

  String description() {
    return description;
  }
}
