package org.corianderweir.logic.configuration;

import org.corianderweir.model.configuration.Organisation;

/** A change of the organisations. */
public sealed interface OrganisationChange extends ConfigurationChange {
  /**
   * Adds an organisation or replaces the one with the same name.
   *
   * @param organisation the organisation
   */
  record SetOrganisation(Organisation organisation) implements OrganisationChange {}

  /**
   * Removes an organisation. The change is refused while a key or a selector refers to it.
   *
   * @param organisation name of the organisation
   */
  record RemoveOrganisation(String organisation) implements OrganisationChange {}
}
