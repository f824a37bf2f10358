package org.corianderweir.logic.limits;

import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * The slots of the fleet and the division of each limit among them. Only some slots get a slice of
 * a limit: its home slots, which the limit's name determines. Every availability zone has at least
 * one home slot of a limit, and more only if each still gets a useful burst. So a small limit is
 * not split into slices that hold no whole token, and in a large fleet the number of lenders of a
 * limit is bounded by the number of zones.
 *
 * @param zones names of the availability zones, in the same order everywhere
 * @param slotsPerZone slots of each zone
 */
public record SlotLayout(List<String> zones, int slotsPerZone) {
  private static final int MAXIMUM_HOME_SLOTS_PER_ZONE = 3;
  private static final double MINIMUM_BURST_TOKENS = 4;

  /** Copies and sorts the zones. */
  public SlotLayout {
    zones = zones.stream().sorted().toList();
  }

  /** Returns the slice that a slot has of a limit; the slices of all slots add up to the limit. */
  public Allowance slice(String limitName, Allowance limit, String zone, int slot) {
    int zoneIndex = zones.indexOf(zone);
    if (zoneIndex < 0 || slot >= slotsPerZone) {
      return Allowance.NONE;
    }
    int homeSlots = homeSlotsPerZone(limit);
    int rank = homeRank(limitName, zone, slot);
    if (rank >= homeSlots) {
      return Allowance.NONE;
    }
    int index = rank * zones.size() + zoneIndex;
    return SliceDivision.slice(limit, index, zones.size() * homeSlots);
  }

  /** Returns how many slots of each zone get a slice of a limit. */
  public int homeSlotsPerZone(Allowance limit) {
    double usefulSlots = limit.capacity() / zones.size() / MINIMUM_BURST_TOKENS;
    int maximum = Math.min(MAXIMUM_HOME_SLOTS_PER_ZONE, slotsPerZone);
    return Math.clamp((long) usefulSlots, 1, maximum);
  }

  /**
   * Returns the rank of a slot among the slots of its zone for a limit, from zero, by rendezvous
   * hashing.
   */
  public int homeRank(String limitName, String zone, int slot) {
    long own = hash(limitName, zone, slot);
    int rank = 0;
    for (int other = 0; other < slotsPerZone; other++) {
      rank += hash(limitName, zone, other) > own ? 1 : 0;
    }
    return rank;
  }

  /** Returns the average slice of a home slot. */
  public Allowance typicalSlice(Allowance limit) {
    int homeSlots = Math.max(1, zones.size() * homeSlotsPerZone(limit));
    return new Allowance(limit.rate() / homeSlots, limit.capacity() / homeSlots);
  }

  private static long hash(String limitName, String zone, int slot) {
    return LongHashFunction.xx3().hashChars(limitName + '/' + zone + '/' + slot);
  }
}
