package org.corianderweir.logic.steering.grammar;

import java.math.BigDecimal;
import java.util.List;
import java.util.stream.Collectors;
import org.corianderweir.model.configuration.Destination;
import org.corianderweir.model.configuration.LabelCondition;
import org.corianderweir.model.configuration.Selector;

/** Formats a selector as text. The parser reads the text as an equal selector without a shift. */
public final class SelectorFormatter {
  private static final BigDecimal PERCENT = BigDecimal.valueOf(100);

  private SelectorFormatter() {}

  /** Returns the text of a selector on one line. */
  public static String format(Selector selector) {
    StringBuilder text = new StringBuilder();
    text.append("route ").append(formatName(selector.name()));
    text.append(" path ").append(selector.pathPrefix());
    if (!selector.organisations().isEmpty()) {
      text.append(" for organisation in ").append(formatList(selector.organisations()));
    }
    text.append(" to service ").append(formatName(selector.service()));
    String destinations =
        selector.destinations().stream()
            .map(SelectorFormatter::formatDestination)
            .collect(Collectors.joining(", "));
    text.append(' ').append(destinations);
    if (selector.concurrency() > 0) {
      text.append(" limit concurrency ").append(selector.concurrency());
    }
    if (selector.capPerSecond() != Selector.DEFAULT_CAP_PER_SECOND) {
      text.append(" cap ").append(formatPercent(selector.capPerSecond())).append("% per second");
    }
    if (selector.open()) {
      text.append(" open");
    }
    return text.toString();
  }

  /** Returns the text of a destination's conditions, or {@code anywhere} if there are none. */
  public static String formatConditions(List<LabelCondition> conditions) {
    return conditions.isEmpty()
        ? "anywhere"
        : conditions.stream()
            .map(SelectorFormatter::formatCondition)
            .collect(Collectors.joining(" and "));
  }

  private static String formatDestination(Destination destination) {
    String where =
        destination.conditions().isEmpty()
            ? ""
            : "where " + formatConditions(destination.conditions()) + " ";
    return where + "weight " + destination.weight();
  }

  private static String formatCondition(LabelCondition condition) {
    String subject =
        condition.scope().keyword()
            + condition.label().map(label -> "." + formatName(label)).orElse("");
    if (condition.values().size() == 1) {
      String operator = condition.excluded() ? " != " : " = ";
      return subject + operator + formatName(condition.values().getFirst());
    }
    return subject + (condition.excluded() ? " not in " : " in ") + formatList(condition.values());
  }

  private static String formatList(List<String> values) {
    return values.stream()
        .map(SelectorFormatter::formatName)
        .collect(Collectors.joining(", ", "(", ")"));
  }

  private static String formatName(String value) {
    if (SelectorLexer.isWord(value)) {
      return value;
    }
    return '"' + value.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
  }

  private static String formatPercent(double share) {
    return BigDecimal.valueOf(share).multiply(PERCENT).stripTrailingZeros().toPlainString();
  }
}
