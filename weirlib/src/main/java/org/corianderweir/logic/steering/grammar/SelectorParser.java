package org.corianderweir.logic.steering.grammar;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.Destination;
import org.corianderweir.model.configuration.LabelCondition;
import org.corianderweir.model.configuration.LabelScope;
import org.corianderweir.model.configuration.Selector;

/** Recursive descent parser of selector text. docs/SELECTORS.md defines the grammar. */
public final class SelectorParser {
  /** Largest weight of a destination. */
  public static final int WEIGHT_MAXIMUM = 1_000_000;

  private static final int CONCURRENCY_MAXIMUM = 10_000_000;
  private static final String ALLOWED_AFTER_DESTINATION =
      "',', 'limit', 'cap', 'open', 'route' or the end of the text";

  private final TokenReader reader;

  private SelectorParser(String text) {
    reader = new TokenReader(SelectorLexer.tokens(text));
  }

  /**
   * Parses a text that consists of one selector.
   *
   * @throws WeirException with code {@code CONFIGURATION_INVALID} if the text has a syntax error;
   *     the message gives the line, the column, what was read and what is allowed
   */
  public static Selector parse(String text) {
    SelectorParser parser = new SelectorParser(text);
    Selector selector = parser.parseSelector();
    Token rest = parser.reader.peek();
    if (rest.kind() != TokenKind.END) {
      throw SyntaxErrors.unexpected(rest, TokenKind.END.description());
    }
    return selector;
  }

  /**
   * Parses a text that consists of any number of selectors.
   *
   * @throws WeirException with code {@code CONFIGURATION_INVALID} if the text has a syntax error;
   *     the message is as for {@link #parse(String)}
   */
  public static List<Selector> parseAll(String text) {
    SelectorParser parser = new SelectorParser(text);
    List<Selector> selectors = new ArrayList<>();
    while (parser.reader.peek().kind() != TokenKind.END) {
      selectors.add(parser.parseSelector());
    }
    return List.copyOf(selectors);
  }

  private Selector parseSelector() {
    reader.expectWord(Keywords.ROUTE);
    String name = reader.readName("the name of the selector");
    reader.expectWord(Keywords.PATH);
    String path = reader.readPath();
    Optional<Token> forClause = Optional.empty();
    List<String> organisations = List.of();
    if (reader.peek().is(TokenKind.WORD, Keywords.FOR)) {
      forClause = Optional.of(reader.peek());
      organisations = parseOrganisations();
    } else if (!reader.peek().is(TokenKind.WORD, Keywords.TO)) {
      throw SyntaxErrors.unexpected(reader.peek(), "'for' or 'to'");
    }
    reader.expectWord(Keywords.TO);
    reader.expectWord(Keywords.SERVICE);
    String service = reader.readName("the name of a service");
    Selector.Builder builder =
        Selector.builder(name, path, service)
            .organisations(organisations)
            .destinations(parseDestinations());
    parseOptions(builder, forClause);
    return builder.build();
  }

  private List<String> parseOrganisations() {
    reader.expectWord(Keywords.FOR);
    reader.expectWord(Keywords.ORGANISATION);
    reader.expectWord(Keywords.IN);
    return reader.readList(() -> reader.readName("the name of an organisation"));
  }

  private List<Destination> parseDestinations() {
    List<Destination> destinations = new ArrayList<>();
    do {
      destinations.add(parseDestination());
    } while (reader.acceptSymbol(","));
    return destinations;
  }

  private Destination parseDestination() {
    List<LabelCondition> conditions = new ArrayList<>();
    if (reader.acceptWord(Keywords.WHERE)) {
      do {
        conditions.add(parseCondition());
      } while (reader.acceptWord(Keywords.AND));
    }
    int weight = reader.acceptWord(Keywords.WEIGHT) ? reader.readInteger(0, WEIGHT_MAXIMUM) : 1;
    return new Destination(conditions, weight);
  }

  private LabelCondition parseCondition() {
    LabelScope scope = parseScope();
    Optional<String> label =
        reader.acceptSymbol(".")
            ? Optional.of(reader.readName("the name of a label"))
            : Optional.empty();
    if (reader.acceptSymbol("=")) {
      return new LabelCondition(scope, label, false, List.of(parseValue()));
    }
    if (reader.acceptSymbol("!=")) {
      return new LabelCondition(scope, label, true, List.of(parseValue()));
    }
    boolean excluded = reader.acceptWord(Keywords.NOT);
    if (!reader.acceptWord(Keywords.IN)) {
      String more = label.isPresent() ? "" : "'.', ";
      throw SyntaxErrors.unexpected(
          reader.peek(), excluded ? "'in'" : more + "'=', '!=', 'in' or 'not'");
    }
    return new LabelCondition(scope, label, excluded, reader.readList(this::parseValue));
  }

  private LabelScope parseScope() {
    for (LabelScope scope : LabelScope.values()) {
      if (reader.acceptWord(scope.keyword())) {
        return scope;
      }
    }
    throw SyntaxErrors.unexpected(reader.peek(), "'server', 'zone' or 'region'");
  }

  private String parseValue() {
    return reader.readName("a name or a text in double quotes");
  }

  private void parseOptions(Selector.Builder builder, Optional<Token> forClause) {
    boolean hasLimit = false;
    boolean hasCap = false;
    boolean hasOpen = false;
    while (!atEndOfSelector()) {
      Token option = reader.peek();
      if (!hasLimit && reader.acceptWord(Keywords.LIMIT)) {
        hasLimit = true;
        reader.expectWord(Keywords.CONCURRENCY);
        builder.concurrency(reader.readInteger(1, CONCURRENCY_MAXIMUM));
      } else if (!hasCap && reader.acceptWord(Keywords.CAP)) {
        hasCap = true;
        builder.capPerSecond(parseCap());
      } else if (!hasOpen && forClause.isEmpty() && reader.acceptWord(Keywords.OPEN)) {
        hasOpen = true;
        builder.open(true);
      } else {
        throw SyntaxErrors.unexpected(option, allowedOptions(hasLimit, hasCap, hasOpen, forClause));
      }
    }
  }

  private boolean atEndOfSelector() {
    Token token = reader.peek();
    return token.kind() == TokenKind.END || token.is(TokenKind.WORD, Keywords.ROUTE);
  }

  private double parseCap() {
    double share = reader.readPercentage();
    reader.expectSymbol("%");
    reader.expectWord(Keywords.PER);
    reader.expectWord(Keywords.SECOND);
    return share;
  }

  private static String allowedOptions(
      boolean hasLimit, boolean hasCap, boolean hasOpen, Optional<Token> forClause) {
    if (!hasLimit && !hasCap && !hasOpen && forClause.isEmpty()) {
      return ALLOWED_AFTER_DESTINATION;
    }
    List<String> allowed = new ArrayList<>();
    if (!hasLimit) {
      allowed.add("'limit'");
    }
    if (!hasCap) {
      allowed.add("'cap'");
    }
    if (!hasOpen && forClause.isEmpty()) {
      allowed.add("'open'");
    }
    allowed.add("'route'");
    String reason = forClause.isPresent() ? " (a route for named organisations can't be open)" : "";
    return String.join(", ", allowed) + " or the end of the text" + reason;
  }
}
