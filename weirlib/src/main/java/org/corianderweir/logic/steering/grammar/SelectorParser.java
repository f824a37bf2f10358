package org.corianderweir.logic.steering.grammar;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.Destination;
import org.corianderweir.model.configuration.LabelCondition;
import org.corianderweir.model.configuration.LabelScope;
import org.corianderweir.model.configuration.Selector;

/** Reads selector text by recursive descent. docs/SELECTORS.md gives the grammar. */
public final class SelectorParser {
  /** Largest weight of a destination. */
  public static final int WEIGHT_MAXIMUM = 1_000_000;

  private static final int CONCURRENCY_MAXIMUM = 10_000_000;
  private static final String AFTER_DESTINATION =
      "',', 'limit', 'cap', 'open', 'route' or the end of the text";

  private final TokenReader reader;

  private SelectorParser(String text) {
    reader = new TokenReader(SelectorLexer.tokens(text));
  }

  /**
   * Reads one selector.
   *
   * @throws WeirException with code {@code CONFIGURATION_INVALID}; its message says line, column,
   *     what was read and what is allowed
   */
  public static Selector parse(String text) {
    SelectorParser parser = new SelectorParser(text);
    Selector selector = parser.selector();
    Token rest = parser.reader.peek();
    if (rest.kind() != TokenKind.END) {
      throw GrammarErrors.at(rest, TokenKind.END.description());
    }
    return selector;
  }

  /**
   * Reads selectors that follow each other.
   *
   * @throws WeirException as {@link #parse(String)}
   */
  public static List<Selector> parseAll(String text) {
    SelectorParser parser = new SelectorParser(text);
    List<Selector> selectors = new ArrayList<>();
    while (parser.reader.peek().kind() != TokenKind.END) {
      selectors.add(parser.selector());
    }
    return List.copyOf(selectors);
  }

  private Selector selector() {
    reader.word(Keywords.ROUTE);
    String name = reader.name("the name of the selector");
    reader.word(Keywords.PATH);
    String path = reader.path();
    Optional<Token> audience = Optional.empty();
    List<String> organisations = List.of();
    if (reader.peek().is(TokenKind.WORD, Keywords.FOR)) {
      audience = Optional.of(reader.peek());
      organisations = organisations();
    } else if (!reader.peek().is(TokenKind.WORD, Keywords.TO)) {
      throw GrammarErrors.at(reader.peek(), "'for' or 'to'");
    }
    reader.word(Keywords.TO);
    reader.word(Keywords.SERVICE);
    String service = reader.name("the name of a service");
    Selector.Builder builder =
        Selector.builder(name, path, service)
            .organisations(organisations)
            .destinations(destinations());
    options(builder, audience);
    return builder.build();
  }

  private List<String> organisations() {
    reader.word(Keywords.FOR);
    reader.word(Keywords.ORGANISATION);
    reader.word(Keywords.IN);
    return reader.list(() -> reader.name("the name of an organisation"));
  }

  private List<Destination> destinations() {
    List<Destination> destinations = new ArrayList<>();
    do {
      destinations.add(destination());
    } while (reader.trySymbol(","));
    return destinations;
  }

  private Destination destination() {
    List<LabelCondition> conditions = new ArrayList<>();
    if (reader.tryWord(Keywords.WHERE)) {
      do {
        conditions.add(condition());
      } while (reader.tryWord(Keywords.AND));
    }
    int weight = reader.tryWord(Keywords.WEIGHT) ? reader.integer(0, WEIGHT_MAXIMUM) : 1;
    return new Destination(conditions, weight);
  }

  private LabelCondition condition() {
    LabelScope scope = scope();
    Optional<String> label =
        reader.trySymbol(".") ? Optional.of(reader.name("the name of a label")) : Optional.empty();
    if (reader.trySymbol("=")) {
      return new LabelCondition(scope, label, false, List.of(value()));
    }
    if (reader.trySymbol("!=")) {
      return new LabelCondition(scope, label, true, List.of(value()));
    }
    boolean excluded = reader.tryWord(Keywords.NOT);
    if (!reader.tryWord(Keywords.IN)) {
      String more = label.isPresent() ? "" : "'.', ";
      throw GrammarErrors.at(reader.peek(), excluded ? "'in'" : more + "'=', '!=', 'in' or 'not'");
    }
    return new LabelCondition(scope, label, excluded, reader.list(this::value));
  }

  private LabelScope scope() {
    for (LabelScope scope : LabelScope.values()) {
      if (reader.tryWord(scope.word())) {
        return scope;
      }
    }
    throw GrammarErrors.at(reader.peek(), "'server', 'zone' or 'region'");
  }

  private String value() {
    return reader.name("a name or a text in double quotes");
  }

  private void options(Selector.Builder builder, Optional<Token> audience) {
    boolean limited = false;
    boolean capped = false;
    boolean opened = false;
    while (!atEndOfSelector()) {
      Token option = reader.peek();
      if (!limited && reader.tryWord(Keywords.LIMIT)) {
        limited = true;
        reader.word(Keywords.CONCURRENCY);
        builder.concurrency(reader.integer(1, CONCURRENCY_MAXIMUM));
      } else if (!capped && reader.tryWord(Keywords.CAP)) {
        capped = true;
        builder.capPerSecond(cap());
      } else if (!opened && audience.isEmpty() && reader.tryWord(Keywords.OPEN)) {
        opened = true;
        builder.open(true);
      } else {
        throw GrammarErrors.at(option, allowedOptions(limited, capped, opened, audience));
      }
    }
  }

  private boolean atEndOfSelector() {
    Token token = reader.peek();
    return token.kind() == TokenKind.END || token.is(TokenKind.WORD, Keywords.ROUTE);
  }

  private double cap() {
    double share = reader.percentage();
    reader.symbol("%");
    reader.word(Keywords.PER);
    reader.word(Keywords.SECOND);
    return share;
  }

  private static String allowedOptions(
      boolean limited, boolean capped, boolean opened, Optional<Token> audience) {
    if (!limited && !capped && !opened && audience.isEmpty()) {
      return AFTER_DESTINATION;
    }
    List<String> allowed = new ArrayList<>();
    if (!limited) {
      allowed.add("'limit'");
    }
    if (!capped) {
      allowed.add("'cap'");
    }
    if (!opened && audience.isEmpty()) {
      allowed.add("'open'");
    }
    allowed.add("'route'");
    String reason = audience.isPresent() ? " (a route for named organisations can't be open)" : "";
    return String.join(", ", allowed) + " or the end of the text" + reason;
  }
}
