package org.corianderweir.model.request;

import java.util.List;

/**
 * The answer to a look-up: the entry instances that a client should use.
 *
 * @param entryInstances endpoints of the entry instances, best first
 * @param lifetimeMilliseconds how long the client may cache the answer
 */
public record LookupAnswer(List<Endpoint> entryInstances, long lifetimeMilliseconds) {
  /** Copies the list. */
  public LookupAnswer {
    entryInstances = List.copyOf(entryInstances);
  }

  /**
   * The endpoint of an entry instance for callers.
   *
   * @param name name of the entry instance
   * @param availabilityZone its availability zone
   * @param host IP address
   * @param port TCP port for callers
   */
  public record Endpoint(String name, String availabilityZone, String host, int port) {}
}
