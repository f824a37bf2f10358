package org.corianderweir.logic.admission;

/**
 * The server that was chosen for a request, as this instance knows it.
 *
 * @param load requests at the server: those of this instance, and those of others as far as reports
 *     are recent
 * @param slots number of requests that the server runs at the same time
 * @param speed how long work takes there now, as a ratio to the usual time; 1 if it is unknown
 * @param reportWeight weight of the newest report of the server, from 1 (new) to 0 (too old)
 * @param workNanoseconds expected work of the request there at usual speed, with the way to the
 *     server and back; 0 if it is unknown
 */
public record Candidate(
    double load, int slots, double speed, double reportWeight, long workNanoseconds) {
  /** Replaces figures that are out of range. */
  public Candidate {
    load = load > 0 ? load : 0;
    slots = Math.max(1, slots);
    speed = speed > 0 && speed < Double.POSITIVE_INFINITY ? speed : 1;
    reportWeight = reportWeight > 0 ? Math.min(1, reportWeight) : 0;
  }

  double freeSlots() {
    return Math.max(0, slots - load);
  }

  /** Returns the part of the work of one request that a further request waits. */
  double waitRatio() {
    return Math.max(0, load + 1 - slots) / slots;
  }
}
