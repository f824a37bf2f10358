package org.corianderweir.logic.limits.slots;

/**
 * One run of an entry instance as a holder of slots.
 *
 * @param instance name of the entry instance
 * @param host IP address that the process has bound
 * @param peerPort TCP port that the process has bound for connections from other entry instances
 * @param incarnation grows with each start of the process
 */
public record SlotHolder(String instance, String host, int peerPort, long incarnation) {
  /** Returns whether this is a later run of the same instance at the same address. */
  public boolean replaces(SlotHolder other) {
    return instance.equals(other.instance)
        && host.equals(other.host)
        && peerPort == other.peerPort
        && incarnation > other.incarnation;
  }
}
