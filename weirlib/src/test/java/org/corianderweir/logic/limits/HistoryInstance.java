package org.corianderweir.logic.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import org.corianderweir.logic.limits.slots.SlotHolder;

/**
 * One entry instance of a history: its clock, its state and the work that is queued while it is
 * paused.
 */
final class HistoryInstance {
  static final String LIMIT = "organisation/zafu";

  final int index;
  final String zone;
  final double clockSpeed;
  final long clockOffsetNanoseconds;
  final SlotLayout layout;
  final Allowance limit;
  final Deque<Runnable> inbox = new ArrayDeque<>();
  SlotHolder self;
  FleetLimits limits;
  boolean paused;
  boolean hadSlots;

  HistoryInstance(
      int index,
      String zone,
      double clockSpeed,
      long clockOffsetNanoseconds,
      SlotLayout layout,
      Allowance limit) {
    this.index = index;
    this.zone = zone;
    this.clockSpeed = clockSpeed;
    this.clockOffsetNanoseconds = clockOffsetNanoseconds;
    this.layout = layout;
    this.limit = limit;
  }

  /** Starts a new run without the state of the former one. */
  void start(String name, long incarnation, long trueNanoseconds) {
    self = new SlotHolder(name, "127.1.1." + index, 1, incarnation);
    limits = new FleetLimits(self, zone, layout, localNanoseconds(trueNanoseconds));
    limits.defineRate(LIMIT, limit, localNanoseconds(trueNanoseconds));
    inbox.clear();
    paused = false;
    hadSlots = false;
  }

  long localNanoseconds(long trueNanoseconds) {
    return clockOffsetNanoseconds + (long) (trueNanoseconds * clockSpeed);
  }

  SliceBucket bucket() {
    return limits.admissionController(LIMIT).orElseThrow().bucket();
  }
}
