package org.corianderweir.protocol.operator;

import java.util.List;
import org.corianderweir.model.configuration.Link;
import org.corianderweir.model.configuration.Organisation;

/** Messages about organisations and fleet-wide limits. */
public final class OrganisationMessages {
  private OrganisationMessages() {}

  /**
   * All organisations.
   *
   * @param organisations the organisations
   */
  public record Organisations(List<Organisation> organisations) {}

  /**
   * Request to add or replace an organisation.
   *
   * @param organisation the organisation
   */
  public record SetOrganisation(Organisation organisation) {}

  /**
   * Request that identifies an organisation.
   *
   * @param organisation name of the organisation
   */
  public record OrganisationName(String organisation) {}

  /**
   * The limits that apply to the whole fleet.
   *
   * @param organisations organisations with their request rates and bursts
   * @param regions concurrency limits of regions
   * @param links links between regions with their capacities
   * @param selectors concurrency limits of selectors
   */
  public record Limits(
      List<Organisation> organisations,
      List<ConcurrencyLimit> regions,
      List<Link> links,
      List<ConcurrencyLimit> selectors) {}

  /**
   * A limit on the number of concurrent requests.
   *
   * @param name name of the region or selector
   * @param concurrency largest number of concurrent requests; zero if it has no limit of its own
   */
  public record ConcurrencyLimit(String name, int concurrency) {}
}
