package org.corianderweir.model.request;

import java.util.List;

/**
 * Which entry instances a client should use, best first.
 *
 * @param entryInstances addresses in order of preference
 * @param lifetimeMilliseconds how long the client may cache the answer
 */
public record LookupAnswer(List<Endpoint> entryInstances, long lifetimeMilliseconds) {
  /** Copies the list. */
  public LookupAnswer {
    entryInstances = List.copyOf(entryInstances);
  }

  /**
   * An address that a client connects to.
   *
   * @param name name of the entry instance
   * @param availabilityZone its availability zone
   * @param host IP address
   * @param port TCP port for callers
   */
  public record Endpoint(String name, String availabilityZone, String host, int port) {}
}
