package org.corianderweir.logic.admission;

/** The loads of the test. Times are in milliseconds. */
enum AdmissionLoad {
  PLATEAU,
  WAVE_ZONE_AFTER_ZONE,
  BURST_OF_THE_LEAST_URGENT,
  ONE_ORGANISATION_AT_FIVE_TIMES,
  CALLERS_THAT_REPEAT,
  A_THIRD_OF_THE_SERVERS_SLOW,
  LOSS_OF_A_ZONE,
  COLD_START,
  ROOM_FOR_ALL;

  static final double DURATION = 40_000;
  static final double LARGEST_DEMAND = 5;
  static final double SLOW_SPEED = 2.5;

  private static final double WAVE_PERIOD = 36_000;
  private static final double LOSS_TIME = 15_000;
  private static final double KILL_TIME = 10_000;
  private static final double START_TIME = 12_000;

  /** Returns the demand as a ratio to 1.25 times the capacity of cold servers. */
  double demand(double now, int zone, int organisation) {
    int priority = AdmissionModel.priority(organisation);
    return switch (this) {
      case PLATEAU, CALLERS_THAT_REPEAT, A_THIRD_OF_THE_SERVERS_SLOW, COLD_START -> 1;
      case WAVE_ZONE_AFTER_ZONE ->
          0.6 + 1.2 * Math.max(0, Math.sin(2 * Math.PI * (now / WAVE_PERIOD - zone / 6.0)));
      case BURST_OF_THE_LEAST_URGENT ->
          priority == AdmissionModel.CLASSES - 1 && now > 15_000 && now < 27_000 ? 2.3 : 0.8;
      case ONE_ORGANISATION_AT_FIVE_TIMES -> organisation == 0 ? 5 : 1;
      case LOSS_OF_A_ZONE -> 0.7;
      case ROOM_FOR_ALL -> 0.25;
    };
  }

  double speed(int server) {
    return this == A_THIRD_OF_THE_SERVERS_SLOW && server % 3 == 0 ? SLOW_SPEED : 1;
  }

  boolean isZoneLost(int zone, double now) {
    return this == LOSS_OF_A_ZONE && zone == 1 && now >= LOSS_TIME;
  }

  boolean isDown(double now) {
    return this == COLD_START && now >= KILL_TIME && now < START_TIME;
  }

  /** Returns the times at which servers, or servers and instances, lose their state. */
  double[] stateLossTimes() {
    return switch (this) {
      case LOSS_OF_A_ZONE -> new double[] {LOSS_TIME};
      case COLD_START -> new double[] {KILL_TIME};
      default -> new double[0];
    };
  }

  /** Returns how often a caller sends a request again, and whether it respects Retry-After. */
  int repeats() {
    return this == CALLERS_THAT_REPEAT ? 3 : 1;
  }

  boolean respectsRetryAfter() {
    return this != CALLERS_THAT_REPEAT;
  }
}
