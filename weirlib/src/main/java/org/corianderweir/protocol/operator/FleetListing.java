package org.corianderweir.protocol.operator;

import java.util.List;

/**
 * The entry instances of a fleet, as one of them knows them, and where each explains requests.
 *
 * @param instance name of the instance that lists them
 * @param revision revision of the store, or of the configuration, that the list is based on
 * @param instances the instances, ordered by name
 */
public record FleetListing(String instance, long revision, List<Entry> instances) {
  /** Path at the metrics port of an entry instance that lists the instances. */
  public static final String ENDPOINT_PATH = "/instances";

  /** Copies the list. */
  public FleetListing {
    instances = List.copyOf(instances);
  }

  /**
   * An entry instance.
   *
   * @param name unique name
   * @param region its region
   * @param zone its availability zone
   * @param host IP address
   * @param port TCP port at which it explains requests
   */
  public record Entry(String name, String region, String zone, String host, int port) {}
}
