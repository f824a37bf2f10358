package org.corianderweir.model.topology;

import org.jspecify.annotations.Nullable;

/**
 * An entry instance: its location and the addresses at which it is reached.
 *
 * @param name unique name
 * @param region name of its region
 * @param availabilityZone name of its availability zone
 * @param host IP address at which all three ports are reached
 * @param callerPort TCP port for callers
 * @param operatorPort TCP port for operators
 * @param peerPort TCP port for the other entry instances
 */
public record EntryInstance(
    String name,
    String region,
    String availabilityZone,
    String host,
    int callerPort,
    int operatorPort,
    int peerPort) {
  // Written out: the generated method is linked by method handles at its first call, during the
  // start of the process, and no class archive holds them.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof EntryInstance that
        && name.equals(that.name)
        && region.equals(that.region)
        && availabilityZone.equals(that.availabilityZone)
        && host.equals(that.host)
        && callerPort == that.callerPort
        && operatorPort == that.operatorPort
        && peerPort == that.peerPort;
  }

  @Override
  public int hashCode() {
    return (name.hashCode() * 31 + host.hashCode()) * 31 + peerPort;
  }
}
