package org.corianderweir.logic.steering;

import java.util.List;
import org.corianderweir.model.configuration.BackendServer;

/**
 * The backend servers of one destination in one availability zone. Cells are the unit to which
 * steering assigns shares of the traffic.
 *
 * @param key key of the cell
 * @param region name of the zone's region; empty if the configuration does not have the zone
 * @param local whether the cell is in the region of the entry instance
 * @param servers servers that may get new requests; empty if all were removed or are drained
 * @param slots number of requests that all the servers together can run at the same time
 */
public record Cell(
    CellKey key, String region, boolean local, List<BackendServer> servers, int slots) {
  /** Copies the list. */
  public Cell {
    servers = List.copyOf(servers);
  }
}
