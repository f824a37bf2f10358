package org.corianderweir.logic.steering;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Label;
import org.corianderweir.model.configuration.LabelCondition;
import org.corianderweir.model.configuration.LabelScope;
import org.corianderweir.model.configuration.Region;

/**
 * A backend server with the availability zone and region from which it inherits labels.
 *
 * @param server the server
 * @param zone its availability zone; empty if the configuration does not have it
 * @param region its region; empty if the configuration does not have it
 */
public record ServerPlace(
    BackendServer server, Optional<AvailabilityZone> zone, Optional<Region> region) {

  /** Returns all backend servers of a configuration with their zones and regions. */
  public static List<ServerPlace> of(Configuration configuration) {
    Map<String, AvailabilityZone> zones =
        configuration.zones().stream()
            .collect(Collectors.toMap(AvailabilityZone::name, Function.identity()));
    Map<String, Region> regions =
        configuration.regions().stream()
            .collect(Collectors.toMap(Region::name, Function.identity()));
    return configuration.backendServers().stream()
        .map(
            server -> {
              Optional<AvailabilityZone> zone =
                  Optional.ofNullable(zones.get(server.availabilityZone()));
              return new ServerPlace(
                  server,
                  zone,
                  zone.flatMap(found -> Optional.ofNullable(regions.get(found.region()))));
            })
        .toList();
  }

  /** Returns the name of the region, or an empty string if the zone is unknown. */
  public String regionName() {
    return zone.map(AvailabilityZone::region).orElse("");
  }

  /** Returns whether the server meets all conditions. */
  public boolean matches(List<LabelCondition> conditions) {
    return conditions.stream().allMatch(this::matches);
  }

  /** Returns whether the server meets a condition. */
  public boolean matches(LabelCondition condition) {
    boolean listed = actualValue(condition).filter(condition.values()::contains).isPresent();
    return listed != condition.excluded();
  }

  /** Returns the value of the server that a condition compares; empty if the label is absent. */
  public Optional<String> actualValue(LabelCondition condition) {
    return condition.label().isPresent()
        ? label(condition.scope(), condition.label().get())
        : Optional.of(name(condition.scope()));
  }

  private String name(LabelScope scope) {
    return switch (scope) {
      case SERVER -> server.name();
      case ZONE -> server.availabilityZone();
      case REGION -> regionName();
    };
  }

  private Optional<String> label(LabelScope scope, String label) {
    Optional<String> fromRegion = region.flatMap(found -> value(found.labels(), label));
    if (scope == LabelScope.REGION) {
      return fromRegion;
    }
    Optional<String> fromZone = zone.flatMap(found -> value(found.labels(), label));
    if (scope == LabelScope.ZONE) {
      return fromZone.or(() -> fromRegion);
    }
    return value(server.labels(), label).or(() -> fromZone).or(() -> fromRegion);
  }

  private static Optional<String> value(List<Label> labels, String name) {
    return labels.stream().filter(label -> label.name().equals(name)).map(Label::value).findFirst();
  }
}
