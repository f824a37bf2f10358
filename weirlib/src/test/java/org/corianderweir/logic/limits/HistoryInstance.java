package org.corianderweir.logic.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import org.corianderweir.logic.limits.slots.SlotHolder;

/** One entry instance of a history: its clock, its state and what waits for it while it pauses. */
final class HistoryInstance {
  static final String LIMIT = "organisation/zafu";

  final int place;
  final String zone;
  final double clockSpeed;
  final long clockOffset;
  final FleetShape shape;
  final Allowance limit;
  final Deque<Runnable> inbox = new ArrayDeque<>();
  SlotHolder self;
  FleetLimits limits;
  boolean paused;
  boolean held;

  HistoryInstance(
      int place,
      String zone,
      double clockSpeed,
      long clockOffset,
      FleetShape shape,
      Allowance limit) {
    this.place = place;
    this.zone = zone;
    this.clockSpeed = clockSpeed;
    this.clockOffset = clockOffset;
    this.shape = shape;
    this.limit = limit;
  }

  /** Starts a new run; the state of the former one is gone. */
  void start(String name, long incarnation, long trueNanoseconds) {
    self = new SlotHolder(name, "127.1.1." + place, 1, incarnation);
    limits = new FleetLimits(self, zone, shape, clock(trueNanoseconds));
    limits.defineRate(LIMIT, limit, clock(trueNanoseconds));
    inbox.clear();
    paused = false;
    held = false;
  }

  long clock(long trueNanoseconds) {
    return clockOffset + (long) (trueNanoseconds * clockSpeed);
  }

  SliceBucket bucket() {
    return limits.gate(LIMIT).orElseThrow().bucket();
  }
}
