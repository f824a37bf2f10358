package org.corianderweir.logic.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.corianderweir.logic.configuration.ConfigurationProblem.Type;
import org.corianderweir.logic.steering.grammar.SelectorFormatter;
import org.corianderweir.logic.steering.grammar.SelectorParser;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Destination;
import org.corianderweir.model.configuration.LabelCondition;
import org.corianderweir.model.configuration.Region;
import org.corianderweir.model.configuration.Selector;

/** Checks the destinations, conditions and text form of selectors. */
final class SelectorValidator {
  private static final int DESTINATIONS_MAXIMUM = 32;

  private final Configuration configuration;
  private final List<ConfigurationProblem> problems = new ArrayList<>();

  private SelectorValidator(Configuration configuration) {
    this.configuration = configuration;
  }

  static List<ConfigurationProblem> validate(Configuration configuration) {
    SelectorValidator validator = new SelectorValidator(configuration);
    for (Selector selector : configuration.selectors()) {
      validator.checkText(selector);
      validator.checkDestinations(selector);
      validator.checkConditions(selector);
    }
    return List.copyOf(validator.problems);
  }

  /**
   * Checks that a selector can be formatted as text and parsed back without loss, because the
   * operators' tools show and read selectors as text.
   */
  private void checkText(Selector selector) {
    boolean reportedElsewhere = !selector.pathPrefix().startsWith("/");
    if (reportedElsewhere) {
      return;
    }
    Selector plain = selector.toBuilder().shift(Optional.empty()).build();
    if (selector.open() && !selector.organisations().isEmpty()) {
      addProblem(selector, Type.VALUE_MALFORMED, "an open route can't be for named organisations");
      return;
    }
    try {
      if (!SelectorParser.parse(SelectorFormatter.format(plain)).equals(plain)) {
        addProblem(selector, Type.VALUE_MALFORMED, "it can't be written as text");
      }
    } catch (WeirException failure) {
      addProblem(selector, Type.VALUE_MALFORMED, String.valueOf(failure.getMessage()));
    }
  }

  private void checkDestinations(Selector selector) {
    int count = selector.destinations().size();
    if (count == 0 || count > DESTINATIONS_MAXIMUM) {
      String allowed = "; allowed: 1 to " + DESTINATIONS_MAXIMUM;
      addProblem(selector, Type.DESTINATION_INVALID, count + " destinations" + allowed);
    }
    if (count > 0 && selector.destinations().stream().allMatch(each -> each.weight() == 0)) {
      addProblem(selector, Type.DESTINATION_INVALID, "at least one needs a weight above zero");
    }
  }

  private void checkConditions(Selector selector) {
    for (Destination destination : selector.destinations()) {
      for (LabelCondition condition : destination.conditions()) {
        if (condition.label().isEmpty()) {
          checkNames(selector, condition);
        }
      }
    }
  }

  private void checkNames(Selector selector, LabelCondition condition) {
    Set<String> existingNames =
        switch (condition.scope()) {
          case REGION ->
              Stream.concat(
                      configuration.regions().stream().map(Region::name),
                      configuration.zones().stream().map(AvailabilityZone::region))
                  .collect(Collectors.toSet());
          case ZONE -> names(configuration.zones(), AvailabilityZone::name);
          case SERVER -> names(configuration.backendServers(), BackendServer::name);
        };
    Type type =
        switch (condition.scope()) {
          case REGION -> Type.REGION_UNKNOWN;
          case ZONE -> Type.ZONE_UNKNOWN;
          case SERVER -> Type.SERVER_UNKNOWN;
        };
    condition.values().stream()
        .filter(value -> !existingNames.contains(value))
        .forEach(
            value -> addProblem(selector, type, "no " + condition.scope().keyword() + " " + value));
  }

  private void addProblem(Selector selector, Type type, String detail) {
    problems.add(new ConfigurationProblem(type, "selector " + selector.name(), detail));
  }

  private static <T> Set<String> names(List<T> values, Function<T, String> name) {
    return values.stream().map(name).collect(Collectors.toSet());
  }
}
