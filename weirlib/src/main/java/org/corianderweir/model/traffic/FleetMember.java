package org.corianderweir.model.traffic;

/**
 * An entry instance that takes requests.
 *
 * @param name unique name
 * @param host IP address
 * @param callerPort TCP port for requests
 * @param peerPort port for messages between entry instances
 * @param zone availability zone
 * @param region region
 * @param incarnation wall time of its start in milliseconds
 */
public record FleetMember(
    String name,
    String host,
    int callerPort,
    int peerPort,
    String zone,
    String region,
    long incarnation) {
  /** Returns the address for requests. */
  public String callerAddress() {
    return host + ":" + callerPort;
  }
}
