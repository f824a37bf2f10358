package org.corianderweir.logic.traffic;

import java.util.Map;

/**
 * The demand of organisations on the fleet, as received by one instance.
 *
 * @param reported demand that this instance had reported, in requests per second by organisation
 * @param reportingInstances number of instances whose demand is included
 * @param fleet demand on these instances, in requests per second by organisation
 * @param reportNanoseconds time at which this instance sent the report that is included
 * @param receivedNanoseconds time at which the digest was received
 */
public record DemandDigest(
    Map<String, Double> reported,
    int reportingInstances,
    Map<String, Double> fleet,
    long reportNanoseconds,
    long receivedNanoseconds) {
  /** Copies the maps. */
  public DemandDigest {
    reported = Map.copyOf(reported);
    fleet = Map.copyOf(fleet);
  }

  /** Returns the demand of one organisation. */
  OrganisationDemand of(String organisation) {
    return new OrganisationDemand(
        reported.getOrDefault(organisation, 0.0),
        fleet.getOrDefault(organisation, 0.0),
        reportingInstances,
        reportNanoseconds,
        receivedNanoseconds);
  }

  /**
   * The demand of one organisation.
   *
   * @param reported demand that this instance had reported, in requests per second
   * @param fleet demand on the instances that are included, in requests per second
   * @param instances number of instances that are included
   * @param reportNanoseconds time at which this instance sent the report that is included
   * @param receivedNanoseconds time at which the digest was received
   */
  record OrganisationDemand(
      double reported,
      double fleet,
      int instances,
      long reportNanoseconds,
      long receivedNanoseconds) {}
}
