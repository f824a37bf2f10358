package org.corianderweir.model.traffic;

import java.util.OptionalInt;
import java.util.Set;

/**
 * An organisation whose callers authenticate with an access key.
 *
 * @param name unique name
 * @param keys access keys that are accepted now
 * @param priority priority of its requests, 0 is the most urgent; empty means the priority of the
 *     route
 * @param requestsPerSecond rate limit over the whole fleet; 0 means no limit
 * @param burst requests beyond the rate that are admitted at once
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

  /** Returns whether the organisation has a rate limit. */
  public boolean hasLimit() {
    return requestsPerSecond > 0;
  }
}
