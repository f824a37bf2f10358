package org.corianderweir.logic.steering;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.corianderweir.logic.steering.grammar.SelectorFormatter;
import org.corianderweir.logic.steering.grammar.SelectorParser;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Destination;
import org.corianderweir.model.configuration.LabelCondition;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.model.configuration.Region;
import org.corianderweir.model.configuration.Selector;

/** Checks the selectors of a configuration against each other and the rest of it. */
public final class SelectorValidator {
  /** Largest number of destinations of a selector. */
  public static final int DESTINATIONS_MAXIMUM = 32;

  private SelectorValidator() {}

  /** Returns what is wrong, one line for each problem; empty if nothing is. */
  public static List<String> problems(Configuration configuration) {
    List<String> problems = new ArrayList<>();
    problems.addAll(duplicates("name", configuration.selectors(), Selector::name));
    problems.addAll(duplicates("path", configuration.selectors(), Selector::pathPrefix));
    for (Selector selector : configuration.selectors()) {
      Stream.of(
              syntax(selector).stream(),
              organisations(selector, configuration).stream(),
              destinations(selector).stream(),
              names(selector, configuration).stream())
          .flatMap(Function.identity())
          .forEach(problem -> problems.add("selector " + selector.name() + ": " + problem));
    }
    return problems;
  }

  private static List<String> duplicates(
      String part, List<Selector> selectors, Function<Selector, String> value) {
    Map<String, Long> counts =
        selectors.stream().collect(Collectors.groupingBy(value, Collectors.counting()));
    return counts.entrySet().stream()
        .filter(entry -> entry.getValue() > 1)
        .map(entry -> "selectors: the " + part + " " + entry.getKey() + " is used twice")
        .sorted()
        .toList();
  }

  /** A selector must have a text form, which the tools show and read. */
  private static List<String> syntax(Selector selector) {
    List<String> problems = new ArrayList<>();
    if (selector.name().isBlank() || selector.service().isBlank()) {
      problems.add("its name and its service must not be empty");
    }
    try {
      Selector plain = selector.toBuilder().shift(java.util.Optional.empty()).build();
      if (!SelectorParser.parse(SelectorFormatter.format(plain)).equals(plain)) {
        problems.add("it can't be written as text");
      }
    } catch (WeirException failure) {
      problems.add(String.valueOf(failure.getMessage()));
    }
    return problems;
  }

  private static List<String> organisations(Selector selector, Configuration configuration) {
    List<String> problems = new ArrayList<>();
    if (selector.open() && !selector.organisations().isEmpty()) {
      problems.add("an open route can't be for named organisations");
    }
    Set<String> known = names(configuration.organisations(), Organisation::name);
    selector.organisations().stream()
        .filter(name -> !known.contains(name))
        .forEach(name -> problems.add("no organisation " + name));
    return problems;
  }

  private static List<String> destinations(Selector selector) {
    List<String> problems = new ArrayList<>();
    int count = selector.destinations().size();
    if (count == 0 || count > DESTINATIONS_MAXIMUM) {
      problems.add(count + " destinations; allowed: 1 to " + DESTINATIONS_MAXIMUM);
    }
    if (count > 0 && selector.destinations().stream().allMatch(each -> each.weight() == 0)) {
      problems.add("at least one destination needs a weight above zero");
    }
    return problems;
  }

  private static List<String> names(Selector selector, Configuration configuration) {
    Set<String> regions =
        Stream.concat(
                configuration.regions().stream().map(Region::name),
                configuration.zones().stream().map(AvailabilityZone::region))
            .collect(Collectors.toSet());
    Set<String> zones = names(configuration.zones(), AvailabilityZone::name);
    Set<String> servers = names(configuration.backendServers(), BackendServer::name);
    List<String> problems = new ArrayList<>();
    for (Destination destination : selector.destinations()) {
      for (LabelCondition condition : destination.conditions()) {
        Set<String> known =
            switch (condition.scope()) {
              case REGION -> regions;
              case ZONE -> zones;
              case SERVER -> servers;
            };
        condition.values().stream()
            .filter(value -> condition.label().isEmpty() && !known.contains(value))
            .forEach(value -> problems.add("no " + condition.scope().word() + " " + value));
      }
    }
    return problems;
  }

  private static <T> Set<String> names(List<T> values, Function<T, String> name) {
    return values.stream().map(name).collect(Collectors.toSet());
  }
}
