package org.corianderweir.daemon.settings;

import java.time.Duration;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.logic.traffic.FleetBounds;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.InstanceLocation;

/**
 * The checked settings of an entry instance whose configuration and servers stand in the platform's
 * store.
 *
 * @param name unique name of the instance
 * @param location where it stands
 * @param callerAddress address for requests
 * @param readinessAddress address at which the platform asks whether it takes requests
 * @param lookupAddress address at which callers ask where to connect
 * @param peerPort port for messages between entry instances
 * @param metricsPort TCP port of the metrics
 * @param storeAddress address of the store
 * @param lookupLifetime how long callers may cache the answer to a look-up
 * @param stopTimeout longest time of a planned stop
 * @param heartbeatInterval time between two reports of a backend server
 * @param fileDescriptorLimit sockets and files that the process may open
 * @param bounds bounds over all instances
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
    FleetBounds bounds) {
  /** Returns this instance as the others see it. */
  public FleetMember member(long incarnation) {
    return new FleetMember(
        name,
        callerAddress.host(),
        callerAddress.port(),
        peerPort,
        location.zone(),
        location.region(),
        incarnation);
  }
}
