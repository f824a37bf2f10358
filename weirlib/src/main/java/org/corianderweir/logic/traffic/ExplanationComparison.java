package org.corianderweir.logic.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Finds where the entry instances of a fleet would treat the same request differently. What differs
 * between instances in any case is not compared: shares of limits, loads and ages.
 */
public final class ExplanationComparison {
  /** Value of an aspect that an explanation does not have. */
  public static final String ABSENT = "none";

  private ExplanationComparison() {}

  /** What is compared. */
  public enum Aspect {
    /** The route that matches. */
    ROUTE,
    /** The version of the configuration in force. */
    CONFIGURATION_VERSION,
    /** What the instance would do, and why it would reject the request. */
    OUTCOME,
    /** The server that would get the request first. */
    FIRST_SERVER,
    /** The limit of the organisation, and whether it is used up. */
    LIMIT;

    /** Returns the name in messages to people. */
    public String label() {
      return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
  }

  /**
   * An aspect in which the instances differ.
   *
   * @param groups the values, those of most instances first
   */
  public record Difference(Aspect aspect, List<Group> groups) {
    /** Copies the list. */
    public Difference {
      groups = List.copyOf(groups);
    }
  }

  /**
   * The instances that agree on a value.
   *
   * @param value the value as text
   * @param instances their names in order
   */
  public record Group(String value, List<String> instances) {
    /** Copies the list. */
    public Group {
      instances = List.copyOf(instances);
    }
  }

  /** Returns the aspects in which explanations of the same request differ. */
  public static List<Difference> differences(List<RequestExplanation> explanations) {
    List<Difference> differences = new ArrayList<>();
    for (Aspect aspect : Aspect.values()) {
      List<Group> groups = groups(aspect, explanations);
      if (groups.size() > 1) {
        differences.add(new Difference(aspect, groups));
      }
    }
    return differences;
  }

  private static List<Group> groups(Aspect aspect, List<RequestExplanation> explanations) {
    Map<String, List<String>> instancesByValue =
        explanations.stream()
            .collect(
                Collectors.groupingBy(
                    explanation -> value(aspect, explanation),
                    TreeMap::new,
                    Collectors.mapping(RequestExplanation::instance, Collectors.toList())));
    return instancesByValue.entrySet().stream()
        .map(entry -> new Group(entry.getKey(), entry.getValue().stream().sorted().toList()))
        .sorted(Comparator.comparingInt((Group group) -> group.instances().size()).reversed())
        .toList();
  }

  /** Returns the value of an aspect as text. */
  public static String value(Aspect aspect, RequestExplanation explanation) {
    return switch (aspect) {
      case ROUTE -> explanation.route().orElse(ABSENT);
      case CONFIGURATION_VERSION -> Long.toString(explanation.configurationVersion());
      case OUTCOME -> outcome(explanation.outcome());
      case FIRST_SERVER -> explanation.outcome().server().orElse(ABSENT);
      case LIMIT -> explanation.limit().map(ExplanationComparison::limit).orElse(ABSENT);
    };
  }

  private static String outcome(RequestExplanation.Outcome outcome) {
    return outcome.decision()
        + outcome.status().map(status -> " " + status).orElse("")
        + outcome.reason().map(reason -> " " + reason).orElse("");
  }

  private static String limit(RequestExplanation.Limit limit) {
    return String.format(
        Locale.ROOT, "%.1f/s%s", limit.limitPerSecond(), limit.usedUp() ? " used up" : "");
  }
}
