package org.corianderweir.model.traffic;

import java.util.OptionalInt;
import java.util.Set;

/**
 * An organisation whose callers show a key.
 *
 * @param name unique name
 * @param keys the keys that are accepted now
 * @param priority rank of its requests; empty leaves the rank to the route
 * @param requestsPerSecond rate over the whole fleet; 0 means no limit
 * @param burst requests beyond the rate that may come at once
 * @param allowedRegions the only regions that may handle its requests; empty means all
 */
public record CallerOrganisation(
    String name,
    Set<String> keys,
    OptionalInt priority,
    double requestsPerSecond,
    double burst,
    Set<String> allowedRegions) {
  /** Copies the collections. */
  public CallerOrganisation {
    keys = Set.copyOf(keys);
    allowedRegions = Set.copyOf(allowedRegions);
  }

  /** Returns whether the organisation has a limit. */
  public boolean hasLimit() {
    return requestsPerSecond > 0;
  }
}
