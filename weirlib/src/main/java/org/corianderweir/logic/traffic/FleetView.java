package org.corianderweir.logic.traffic;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.ServerRegistration;

/**
 * What is known of the fleet at one moment. Immutable.
 *
 * @param index the configuration in force; empty if none is known yet
 * @param servers the backend servers by identifier
 * @param evacuatedZones zones whose servers get nothing
 * @param members the entry instances that take requests
 * @param peerSecret secret that entry instances prove to each other
 * @param revision revision of the store that this is based on
 */
public record FleetView(
    Optional<TrafficIndex> index,
    Map<String, ServerRegistration> servers,
    Set<String> evacuatedZones,
    List<FleetMember> members,
    Optional<String> peerSecret,
    long revision) {
  /** Nothing is known. */
  public static final FleetView EMPTY =
      new FleetView(Optional.empty(), Map.of(), Set.of(), List.of(), Optional.empty(), 0);

  /** Copies the collections. */
  public FleetView {
    servers = Map.copyOf(servers);
    evacuatedZones = Set.copyOf(evacuatedZones);
    members = List.copyOf(members);
  }
}
