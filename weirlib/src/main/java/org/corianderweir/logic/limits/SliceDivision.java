package org.corianderweir.logic.limits;

/** Divides a limit into slices, one for each slot; the sum of the slices is the limit. */
public final class SliceDivision {
  private static final double UNITS_PER_TOKEN = 1_000_000;

  private SliceDivision() {}

  /**
   * Returns the slice of a slot. Whole tokens of capacity are divided without rounding up, so slots
   * may get none.
   *
   * @param limit the whole limit; its capacity is a whole number
   * @param slot number of the slot, from zero
   * @param slots number of slots
   */
  public static Allowance slice(Allowance limit, int slot, int slots) {
    long rateUnits = (long) Math.floor(limit.rate() * UNITS_PER_TOKEN);
    long capacity = (long) Math.floor(limit.capacity());
    return new Allowance(
        part(rateUnits, slot, slots) / UNITS_PER_TOKEN, part(capacity, slot, slots));
  }

  /** Returns the part of a whole number that a slot gets; the parts add up to the number. */
  static long part(long total, int slot, int slots) {
    long quotient = total / slots;
    long remainder = total % slots;
    long before = slot * remainder / slots;
    long after = (slot + 1) * remainder / slots;
    return quotient + after - before;
  }
}
