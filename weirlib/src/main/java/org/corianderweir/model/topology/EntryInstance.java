package org.corianderweir.model.topology;

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
    int peerPort) {}
