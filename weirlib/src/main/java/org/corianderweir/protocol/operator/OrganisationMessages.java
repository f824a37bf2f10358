package org.corianderweir.protocol.operator;

import java.util.List;
import org.corianderweir.model.configuration.Link;
import org.corianderweir.model.configuration.Organisation;

/** Messages about organisations and limits. */
public final class OrganisationMessages {
  private OrganisationMessages() {}

  /**
   * All organisations.
   *
   * @param organisations the organisations
   */
  public record Organisations(List<Organisation> organisations) {}

  /**
   * Adds or replaces an organisation.
   *
   * @param organisation the organisation
   */
  public record SetOrganisation(Organisation organisation) {}

  /**
   * Names an organisation.
   *
   * @param organisation name of the organisation
   */
  public record OrganisationName(String organisation) {}

  /**
   * The limits over the whole fleet.
   *
   * @param organisations rates and bursts
   * @param regions concurrency of regions
   * @param links capacity of links
   * @param selectors concurrency of selectors
   */
  public record Limits(
      List<Organisation> organisations,
      List<ConcurrencyLimit> regions,
      List<Link> links,
      List<ConcurrencyLimit> selectors) {}

  /**
   * A limit on requests that run at the same time.
   *
   * @param name what is limited
   * @param concurrency the limit; zero means none of its own
   */
  public record ConcurrencyLimit(String name, int concurrency) {}
}
