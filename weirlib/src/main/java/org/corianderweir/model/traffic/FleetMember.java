package org.corianderweir.model.traffic;

/**
 * An entry instance that accepts requests.
 *
 * @param name unique name
 * @param host IP address
 * @param callerPort TCP port for requests of callers
 * @param peerPort port for messages between entry instances
 * @param zone availability zone
 * @param region region of the availability zone
 * @param incarnation wall-clock time of its start, in milliseconds since the epoch
 */
public record FleetMember(
    String name,
    String host,
    int callerPort,
    int peerPort,
    String zone,
    String region,
    long incarnation) {
  /** Returns the address for requests of callers as {@code host:port}. */
  public String callerAddress() {
    return host + ":" + callerPort;
  }
}
