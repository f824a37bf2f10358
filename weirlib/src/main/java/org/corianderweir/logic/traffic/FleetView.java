package org.corianderweir.logic.traffic;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.ServerRegistration;

/**
 * The state of the fleet as seen by an entry instance at one point in time. Immutable.
 *
 * @param index the configuration in force; empty if none has been read yet
 * @param servers the backend servers by identifier
 * @param evacuatedZones availability zones whose servers get no requests
 * @param members the entry instances that accept requests
 * @param peerSecret secret by which entry instances authenticate to each other
 * @param revision revision of the metadata store that the view is based on
 */
public record FleetView(
    Optional<TrafficIndex> index,
    Map<String, ServerRegistration> servers,
    Set<String> evacuatedZones,
    List<FleetMember> members,
    Optional<String> peerSecret,
    long revision) {
  /** The view before anything has been read from the metadata store. */
  public static final FleetView EMPTY =
      new FleetView(Optional.empty(), Map.of(), Set.of(), List.of(), Optional.empty(), 0);

  /** Returns the entry instances of an availability zone. */
  public List<FleetMember> membersOf(String zone) {
    return members.stream().filter(member -> member.zone().equals(zone)).toList();
  }

  /** Copies the collections. */
  public FleetView {
    servers = Map.copyOf(servers);
    evacuatedZones = Set.copyOf(evacuatedZones);
    members = List.copyOf(members);
  }

  /** Returns whether the configuration has a route with large requests or responses. */
  boolean hasLargeRequests() {
    return index.map(present -> present.configuration().hasLargeRequests()).orElse(false);
  }
}
