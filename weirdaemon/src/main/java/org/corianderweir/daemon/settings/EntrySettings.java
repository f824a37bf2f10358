package org.corianderweir.daemon.settings;

import java.time.Duration;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.logic.traffic.FleetBounds;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.InstanceLocation;

/**
 * The validated settings of an entry instance that reads its configuration and backend servers from
 * the platform's store.
 *
 * @param name unique name of the instance
 * @param location availability zone and region of the instance
 * @param callerAddress address for requests
 * @param readinessAddress address at which the platform checks whether the instance is ready
 * @param lookupAddress address at which callers look up entry instances to connect to
 * @param peerPort port for messages between entry instances
 * @param metricsPort TCP port of the metrics
 * @param storeAddress address of the store
 * @param lookupLifetime time for which callers may cache the answer to a lookup
 * @param stopTimeout longest time of a planned stop
 * @param heartbeatInterval time between two heartbeats of a backend server
 * @param fileDescriptorLimit sockets and files that the process may open
 * @param processorCapacity processor capacity of the machine in cores
 * @param unfinishedLimits limits on the requests that callers have begun and not finished
 * @param bounds bounds that hold over all entry instances together
 */
public record EntrySettings(
    String name,
    InstanceLocation location,
    HttpAddress callerAddress,
    HttpAddress readinessAddress,
    HttpAddress lookupAddress,
    int peerPort,
    int metricsPort,
    HttpAddress storeAddress,
    Duration lookupLifetime,
    Duration stopTimeout,
    Duration heartbeatInterval,
    int fileDescriptorLimit,
    double processorCapacity,
    UnfinishedLimitSettings unfinishedLimits,
    FleetBounds bounds) {
  /** Returns the fleet member as which this instance announces itself to the other members. */
  public FleetMember member(long incarnation) {
    return new FleetMember(
        name,
        callerAddress.host(),
        callerAddress.port(),
        peerPort,
        location.zone(),
        location.region(),
        incarnation,
        processorCapacity,
        metricsPort);
  }
}
