package org.corianderweir.logic.limits;

import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * How many slots there are and which of them get a slice of a limit. In a fleet of few slots all of
 * them do. In a large fleet each limit has one home slot in each availability zone, chosen by its
 * name, so that a slice stays large enough to be of use and the number of lenders is bounded by the
 * number of zones.
 *
 * @param zones names of the availability zones, in the same order everywhere
 * @param slotsPerZone slots of each zone, all cells together
 */
public record FleetShape(List<String> zones, int slotsPerZone) {
  /** Largest number of slots of which every one gets a slice of every limit. */
  public static final int ALL_SLOTS_LIMIT = 64;

  /** Copies and sorts the zones. */
  public FleetShape {
    zones = zones.stream().sorted().toList();
  }

  /** Returns the slice that a slot has of a limit; the slices of all slots add up to the limit. */
  public Allowance slice(String limitName, Allowance limit, String zone, int slot) {
    int zoneIndex = zones.indexOf(zone);
    if (zoneIndex < 0 || slot >= slotsPerZone) {
      return Allowance.NONE;
    }
    if (zones.size() * slotsPerZone <= ALL_SLOTS_LIMIT) {
      int index = slot * zones.size() + zoneIndex;
      return SliceDivision.slice(limit, index, zones.size() * slotsPerZone);
    }
    boolean home = homeSlot(limitName, zone) == slot;
    return home ? SliceDivision.slice(limit, zoneIndex, zones.size()) : Allowance.NONE;
  }

  /** Returns the slot of a zone that is home to a limit, by rendezvous hashing. */
  public int homeSlot(String limitName, String zone) {
    int best = 0;
    long bestHash = Long.MIN_VALUE;
    for (int slot = 0; slot < slotsPerZone; slot++) {
      long hash = LongHashFunction.xx3().hashChars(limitName + '/' + zone + '/' + slot);
      if (hash > bestHash) {
        bestHash = hash;
        best = slot;
      }
    }
    return best;
  }

  /** Returns the slice that a slot typically has. */
  public Allowance typicalSlice(Allowance limit) {
    int slots = zones.size() * slotsPerZone;
    int sharing = slots <= ALL_SLOTS_LIMIT ? slots : zones.size();
    return new Allowance(limit.rate() / sharing, limit.capacity() / sharing);
  }
}
