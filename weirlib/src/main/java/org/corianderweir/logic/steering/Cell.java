package org.corianderweir.logic.steering;

import java.util.List;
import org.corianderweir.model.configuration.BackendServer;

/**
 * The backend servers of one destination in one availability zone. Traffic is weighed by cells.
 *
 * @param key name of the cell
 * @param region name of the zone's region; empty if the zone is unknown
 * @param local whether the region is that of the entry instance
 * @param servers servers that may get new requests; empty if all left or are drained
 * @param slots requests that the servers run at the same time together
 */
public record Cell(
    CellKey key, String region, boolean local, List<BackendServer> servers, int slots) {
  /** Copies the list. */
  public Cell {
    servers = List.copyOf(servers);
  }
}
