package org.corianderweir.logic.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Label;
import org.corianderweir.model.configuration.LabelScope;
import org.corianderweir.model.configuration.Region;

/** Applies changes of labels. Pure functions. */
final class LabelEditor {
  private LabelEditor() {}

  static Configuration.Builder set(
      Configuration current, LabelScope scope, String name, Label label) {
    if (label.name().isBlank()) {
      throw invalid("a label needs a name");
    }
    return edit(
        current,
        scope,
        name,
        labels -> {
          List<Label> changed = new ArrayList<>(labels);
          changed.removeIf(existing -> existing.name().equals(label.name()));
          changed.add(label);
          return changed;
        });
  }

  static Configuration.Builder remove(
      Configuration current, LabelScope scope, String name, String label) {
    return edit(
        current,
        scope,
        name,
        labels -> {
          List<Label> changed = new ArrayList<>(labels);
          if (!changed.removeIf(existing -> existing.name().equals(label))) {
            throw invalid(scope.keyword() + " " + name + " has no label " + label);
          }
          return changed;
        });
  }

  private static Configuration.Builder edit(
      Configuration current, LabelScope scope, String name, UnaryOperator<List<Label>> edit) {
    return switch (scope) {
      case SERVER ->
          current.toBuilder()
              .backendServers(
                  replaceNamed(
                      current.backendServers(),
                      BackendServer::name,
                      scope,
                      name,
                      server -> server.withLabels(edit.apply(server.labels()))));
      case ZONE ->
          current.toBuilder()
              .zones(
                  replaceNamed(
                      current.zones(),
                      AvailabilityZone::name,
                      scope,
                      name,
                      zone ->
                          new AvailabilityZone(
                              zone.name(), zone.region(), edit.apply(zone.labels()))));
      case REGION ->
          current.toBuilder()
              .regions(
                  replaceNamed(
                      current.regions(),
                      Region::name,
                      scope,
                      name,
                      region ->
                          new Region(
                              region.name(), region.concurrency(), edit.apply(region.labels()))));
    };
  }

  private static <T> List<T> replaceNamed(
      List<T> values,
      Function<T, String> nameOf,
      LabelScope scope,
      String name,
      UnaryOperator<T> change) {
    if (values.stream().noneMatch(value -> nameOf.apply(value).equals(name))) {
      throw invalid("no " + scope.keyword() + " " + name);
    }
    return values.stream()
        .map(value -> nameOf.apply(value).equals(name) ? change.apply(value) : value)
        .toList();
  }

  private static WeirException invalid(String message) {
    return new WeirException(ErrorCode.CONFIGURATION_INVALID, message);
  }
}
