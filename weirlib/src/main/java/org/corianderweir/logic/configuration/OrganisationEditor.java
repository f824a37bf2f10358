package org.corianderweir.logic.configuration;

import java.util.ArrayList;
import java.util.List;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Organisation;

/** Applies changes of organisations. Pure functions. */
final class OrganisationEditor {
  private OrganisationEditor() {}

  static Configuration.Builder apply(Configuration current, OrganisationChange change) {
    return switch (change) {
      case OrganisationChange.SetOrganisation set ->
          current.toBuilder().organisations(withOrganisation(current, set.organisation()));
      case OrganisationChange.RemoveOrganisation remove ->
          current.toBuilder().organisations(withoutOrganisation(current, remove.organisation()));
    };
  }

  private static List<Organisation> withOrganisation(
      Configuration current, Organisation requested) {
    if (requested.name().isBlank()) {
      throw invalid("an organisation needs a name");
    }
    if (!(requested.requestsPerSecond() > 0) || requested.burst() < 1) {
      throw invalid("organisation " + requested.name() + ": rate above 0 and burst of at least 1");
    }
    List<Organisation> organisations = new ArrayList<>(current.organisations());
    organisations.removeIf(existing -> existing.name().equals(requested.name()));
    organisations.add(requested);
    return organisations;
  }

  private static List<Organisation> withoutOrganisation(Configuration current, String name) {
    if (current.keys().stream().anyMatch(key -> key.organisation().equals(name))) {
      throw invalid("organisation " + name + " has keys in force; withdraw them first");
    }
    current.selectors().stream()
        .filter(selector -> selector.organisations().contains(name))
        .findFirst()
        .ifPresent(
            selector -> {
              throw invalid("selector " + selector.name() + " names organisation " + name);
            });
    List<Organisation> organisations = new ArrayList<>(current.organisations());
    if (!organisations.removeIf(existing -> existing.name().equals(name))) {
      throw invalid("no organisation " + name);
    }
    return organisations;
  }

  private static WeirException invalid(String message) {
    return new WeirException(ErrorCode.CONFIGURATION_INVALID, message);
  }
}
