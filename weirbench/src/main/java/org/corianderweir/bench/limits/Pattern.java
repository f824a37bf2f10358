package org.corianderweir.bench.limits;

import java.util.SplittableRandom;

/** How the demand of the organisation is spread, and what fails. */
enum Pattern {
  EVEN("even demand", 0.9),
  ONE_ZONE("all demand in one zone", 0.9),
  MOVING("demand moves every 10 s", 0.9),
  FIVE_TIMES("5x the rate, even", 5),
  ZONE_CUT("one zone cut off, even", 0.9),
  CUT_WITH_DEMAND("zone with all demand cut off", 0.9),
  INSTANCE_KILLED("one instance killed, even", 0.9);

  static final int FAILED_INSTANCE = 0;
  static final int CUT_ZONE = 0;
  static final long FAULT_BEGINS = 25 * SimulatedTime.SECOND;
  static final long FAULT_ENDS = 45 * SimulatedTime.SECOND;
  private static final long MOVE_PERIOD = 10 * SimulatedTime.SECOND;

  private final String title;
  private final double load;

  Pattern(String title, double load) {
    this.title = title;
    this.load = load;
  }

  String title() {
    return title;
  }

  /** Returns the demand as a part of the rate. */
  double load() {
    return load;
  }

  /** Returns the instance at which a request arrives. */
  int place(long now, SplittableRandom random) {
    int spread = random.nextInt(Deployment.INSTANCES);
    int inZone = spread - spread % Deployment.ZONES;
    return switch (this) {
      case EVEN, FIVE_TIMES, ZONE_CUT -> spread;
      case ONE_ZONE, CUT_WITH_DEMAND -> inZone;
      case MOVING -> inZone + (int) (now / MOVE_PERIOD % Deployment.ZONES);
      case INSTANCE_KILLED ->
          now >= FAULT_BEGINS && spread == FAILED_INSTANCE ? Deployment.ZONES : spread;
    };
  }

  boolean connected(int from, int to, long now) {
    boolean cut =
        (this == ZONE_CUT || this == CUT_WITH_DEMAND) && now >= FAULT_BEGINS && now < FAULT_ENDS;
    boolean fromInside = Deployment.zone(from) == CUT_ZONE;
    boolean toInside = Deployment.zone(to) == CUT_ZONE;
    return !cut || fromInside == toInside;
  }

  boolean alive(int instance, long now) {
    return this != INSTANCE_KILLED || instance != FAILED_INSTANCE || now < FAULT_BEGINS;
  }
}
