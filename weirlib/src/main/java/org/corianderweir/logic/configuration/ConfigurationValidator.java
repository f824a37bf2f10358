package org.corianderweir.logic.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.corianderweir.logic.configuration.ConfigurationProblem.Type;
import org.corianderweir.model.configuration.AccessKey;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Label;
import org.corianderweir.model.configuration.Link;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.model.configuration.Region;
import org.corianderweir.model.configuration.Selector;
import org.corianderweir.model.configuration.Site;

/** Checks a configuration as a whole before it is accepted. */
public final class ConfigurationValidator {
  private static final int PORT_MAXIMUM = 65_535;
  private static final int HASH_LENGTH_CHARACTERS = 64;

  private final Configuration configuration;
  private final Set<String> regions;
  private final Set<String> zones;
  private final Set<String> organisations;
  private final List<ConfigurationProblem> problems = new ArrayList<>();

  private ConfigurationValidator(Configuration configuration) {
    this.configuration = configuration;
    regions = names(configuration.regions(), Region::name);
    zones = names(configuration.zones(), AvailabilityZone::name);
    organisations = names(configuration.organisations(), Organisation::name);
  }

  /** Returns all problems of a configuration; it may be accepted only if there are none. */
  public static List<ConfigurationProblem> validate(Configuration configuration) {
    ConfigurationValidator validator = new ConfigurationValidator(configuration);
    validator.checkNames();
    validator.checkTopology();
    validator.checkOrganisations();
    validator.checkKeys();
    validator.checkServers();
    validator.checkSelectors();
    validator.problems.addAll(SelectorValidator.validate(configuration));
    validator.problems.addAll(ClientBlockValidator.validate(configuration));
    return List.copyOf(validator.problems);
  }

  private void checkNames() {
    checkUnique("region", configuration.regions(), Region::name);
    checkUnique("link", configuration.links(), ConfigurationDifference::linkName);
    checkUnique("zone", configuration.zones(), AvailabilityZone::name);
    checkUnique("site", configuration.sites(), Site::name);
    checkUnique("organisation", configuration.organisations(), Organisation::name);
    checkUnique("key", configuration.keys(), AccessKey::identifier);
    checkUnique("backend server", configuration.backendServers(), BackendServer::name);
    checkUnique("selector", configuration.selectors(), Selector::name);
  }

  private <T> void checkUnique(String kind, List<T> items, Function<T, String> name) {
    Set<String> seen = new HashSet<>();
    for (T item : items) {
      String text = name.apply(item);
      if (text.isBlank()) {
        addProblem(Type.NAME_INVALID, kind, "a name is empty");
      } else if (!seen.add(text)) {
        addProblem(Type.NAME_INVALID, kind + ' ' + text, "the name is used twice");
      }
    }
  }

  private void checkTopology() {
    for (Region region : configuration.regions()) {
      String subject = "region " + region.name();
      checkLabels(subject, region.labels());
      if (region.concurrency() < 0) {
        addProblem(Type.LIMIT_INVALID, subject, "concurrency " + region.concurrency());
      }
    }
    for (AvailabilityZone zone : configuration.zones()) {
      String subject = "zone " + zone.name();
      checkLabels(subject, zone.labels());
      checkRegion(subject, zone.region());
    }
    for (Link link : configuration.links()) {
      String subject = "link " + ConfigurationDifference.linkName(link);
      checkRegion(subject, link.fromRegion());
      checkRegion(subject, link.toRegion());
      if (link.fromRegion().equals(link.toRegion())) {
        addProblem(Type.VALUE_MALFORMED, subject, "both ends are the same region");
      }
      checkPositive(subject, "capacity", link.megabitsPerSecond());
    }
  }

  /**
   * Checks that a region exists. A configuration without any regions is valid: its regions are then
   * only the names that its availability zones give.
   */
  private void checkRegion(String subject, String region) {
    if (!regions.isEmpty() && !regions.contains(region)) {
      addProblem(Type.REGION_UNKNOWN, subject, "no region " + region);
    }
  }

  private void checkOrganisations() {
    for (Organisation organisation : configuration.organisations()) {
      String subject = "organisation " + organisation.name();
      checkPositive(subject, "rate", organisation.requestsPerSecond());
      if (organisation.burst() < 1) {
        addProblem(Type.LIMIT_INVALID, subject, "burst " + organisation.burst());
      }
      if (organisation.keyStalenessMilliseconds() < 0) {
        addProblem(
            Type.LIMIT_INVALID,
            subject,
            "key staleness " + organisation.keyStalenessMilliseconds());
      }
    }
  }

  private void checkKeys() {
    for (AccessKey key : configuration.keys()) {
      String subject = "key " + key.identifier();
      if (!organisations.contains(key.organisation())) {
        addProblem(Type.ORGANISATION_UNKNOWN, subject, "no organisation " + key.organisation());
      }
      if (key.hash().length() != HASH_LENGTH_CHARACTERS || key.salt().isEmpty()) {
        addProblem(Type.VALUE_MALFORMED, subject, "salt or hash is not what issuing a key makes");
      }
      if (key.identifier().indexOf('.') >= 0) {
        addProblem(Type.VALUE_MALFORMED, subject, "the identifier has a dot");
      }
    }
  }

  private void checkServers() {
    Map<String, String> addresses = new HashMap<>();
    for (BackendServer server : configuration.backendServers()) {
      String subject = "backend server " + server.name();
      checkLabels(subject, server.labels());
      if (!zones.contains(server.availabilityZone())) {
        addProblem(Type.ZONE_UNKNOWN, subject, "no availability zone " + server.availabilityZone());
      }
      if (server.slots() < 1 || server.connectionLimit() < 1) {
        addProblem(Type.LIMIT_INVALID, subject, "slots or connections below one");
      }
      if (server.port() < 1 || server.port() > PORT_MAXIMUM || server.host().isBlank()) {
        addProblem(Type.VALUE_MALFORMED, subject, "address " + server.host() + ':' + server.port());
      }
      String other = addresses.put(server.host() + ':' + server.port(), server.name());
      if (other != null && !other.equals(server.name())) {
        addProblem(Type.ADDRESS_AMBIGUOUS, subject, "same address as " + other);
      }
    }
  }

  private void checkSelectors() {
    Set<String> services = names(configuration.backendServers(), BackendServer::service);
    Map<String, String> paths = new HashMap<>();
    for (Selector selector : configuration.selectors()) {
      String subject = "selector " + selector.name();
      if (!selector.pathPrefix().startsWith("/")) {
        addProblem(Type.VALUE_MALFORMED, subject, "the path does not start with a slash");
      }
      if (!services.contains(selector.service())) {
        addProblem(Type.SERVICE_WITHOUT_SERVER, subject, "no server runs " + selector.service());
      }
      for (String organisation : selector.organisations()) {
        if (!organisations.contains(organisation)) {
          addProblem(Type.ORGANISATION_UNKNOWN, subject, "no organisation " + organisation);
        }
      }
      String other = paths.put(selector.pathPrefix(), selector.name());
      if (other != null && !other.equals(selector.name())) {
        addProblem(Type.PATH_AMBIGUOUS, subject, "same path as " + other);
      }
      if (selector.concurrency() < 0) {
        addProblem(Type.LIMIT_INVALID, subject, "concurrency " + selector.concurrency());
      }
      checkPositive(subject, "cap", selector.capPerSecond());
    }
  }

  private void checkLabels(String subject, List<Label> labels) {
    Map<String, String> seen = new HashMap<>();
    for (Label label : labels) {
      String other = seen.put(label.name(), label.value());
      if (label.name().isBlank()) {
        addProblem(Type.NAME_INVALID, subject, "a label has no name");
      } else if (other != null && !other.equals(label.value())) {
        String both = other + " and " + label.value();
        addProblem(Type.LABELS_CONTRADICT, subject, "label " + label.name() + " is " + both);
      }
    }
  }

  private void checkPositive(String subject, String limit, double value) {
    if (!(value > 0) || Double.isInfinite(value)) {
      addProblem(Type.LIMIT_INVALID, subject, limit + ' ' + value);
    }
  }

  private void addProblem(Type type, String subject, String detail) {
    problems.add(new ConfigurationProblem(type, subject, detail));
  }

  private static <T> Set<String> names(List<T> items, Function<T, String> name) {
    return items.stream().map(name).collect(Collectors.toSet());
  }
}
