package org.corianderweir.daemon.settings;

import java.time.Duration;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.logic.traffic.FleetBounds;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.FleetPlace;

/**
 * The checked settings of an entry instance whose configuration and servers stand in the platform's
 * store.
 *
 * @param name unique name of the instance
 * @param place where it stands
 * @param callers address for requests
 * @param readiness address at which the platform asks whether it takes requests
 * @param lookups address at which callers ask where to connect
 * @param peerPort port for messages between entry instances
 * @param metricsPort TCP port of the metrics
 * @param store address of the store
 * @param lookupLifetime how long callers may cache the answer to a look-up
 * @param stopLimit longest time of a planned stop
 * @param heartbeat time between two reports of a backend server
 * @param descriptors sockets and files that the process may open
 * @param bounds bounds over all instances
 */
public record EntrySettings(
    String name,
    FleetPlace place,
    HttpAddress callers,
    HttpAddress readiness,
    HttpAddress lookups,
    int peerPort,
    int metricsPort,
    HttpAddress store,
    Duration lookupLifetime,
    Duration stopLimit,
    Duration heartbeat,
    int descriptors,
    FleetBounds bounds) {
  /** Returns this instance as the others see it. */
  public FleetMember member(long incarnation) {
    return new FleetMember(
        name, callers.host(), callers.port(), peerPort, place.zone(), place.region(), incarnation);
  }
}
