package org.corianderweir.logic.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.model.traffic.CallerOrganisation;

/**
 * The shares of the rate limits of all organisations that this instance may admit, and the newest
 * digest of the fleet's demand. Not thread-safe.
 */
final class RateShares {
  private final long instanceHash;
  private final Map<String, RateShare> byOrganisation = new HashMap<>();
  private Optional<DemandDigest> newestDigest = Optional.empty();

  /**
   * Creates an empty set of shares.
   *
   * @param instance name of this instance
   */
  RateShares(String instance) {
    instanceHash = Hashing.hash(instance);
  }

  /** Returns the share of an organisation's limit. */
  RateShare get(
      CallerOrganisation organisation, FleetBounds bounds, int instances, long nowNanoseconds) {
    return byOrganisation.computeIfAbsent(
        organisation.name(), unused -> create(organisation, bounds, instances, nowNanoseconds));
  }

  /** Returns a copy of the share of an organisation's limit, which is used up by itself. */
  RateShare copy(
      CallerOrganisation organisation, FleetBounds bounds, int instances, long nowNanoseconds) {
    return Optional.ofNullable(byOrganisation.get(organisation.name()))
        .map(RateShare::copy)
        .orElseGet(() -> create(organisation, bounds, instances, nowNanoseconds));
  }

  /** Removes all shares. */
  void clear() {
    byOrganisation.clear();
  }

  /** Returns the demand on this instance by organisation, in requests per second. */
  Map<String, Double> demand(long nowNanoseconds) {
    Map<String, Double> demand = new HashMap<>();
    byOrganisation.forEach(
        (organisation, share) -> {
          double rate = share.demand(nowNanoseconds);
          if (rate > 0) {
            demand.put(organisation, rate);
          }
        });
    return demand;
  }

  /** Updates the demand of the fleet. */
  void update(DemandDigest digest) {
    newestDigest = Optional.of(digest);
    byOrganisation.forEach(
        (organisation, share) -> share.updateFleetDemand(digest.of(organisation)));
  }

  private RateShare create(
      CallerOrganisation organisation, FleetBounds bounds, int instances, long nowNanoseconds) {
    double position = Hashing.uniform(instanceHash, Hashing.hash(organisation.name()));
    RateShare share = new RateShare(organisation, bounds, instances, position, nowNanoseconds);
    // The first requests of an organisation at an instance are not refused for want of a digest.
    newestDigest.ifPresentOrElse(
        digest -> share.updateFleetDemand(digest.of(organisation.name())), share::useUpBurst);
    return share;
  }
}
