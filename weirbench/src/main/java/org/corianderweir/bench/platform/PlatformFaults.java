package org.corianderweir.bench.platform;

/**
 * The faults of the platform that are switched on.
 *
 * @param outage how the service fails, if it does
 * @param delayMilliseconds time that each answer takes longer
 * @param answersToLose number of writes whose answer gets lost after they took effect
 * @param leasesFrozen whether no lease ends
 * @param listFrozen whether the list of instances stays as it was
 * @param staleReads whether reads show the values from the moment at which this was switched on
 */
public record PlatformFaults(
    Outage outage,
    long delayMilliseconds,
    int answersToLose,
    boolean leasesFrozen,
    boolean listFrozen,
    boolean staleReads) {
  /** Everything works. */
  public static final PlatformFaults NONE =
      new PlatformFaults(Outage.NONE, 0, 0, false, false, false);

  /** How the whole service fails. */
  public enum Outage {
    /** It does not fail. */
    NONE,
    /** Each call is refused at once and does nothing. */
    REFUSES,
    /** No call gets an answer, and none takes effect. */
    SILENT
  }

  /** Returns faults in which only the service as a whole fails. */
  public static PlatformFaults of(Outage outage) {
    return new PlatformFaults(outage, 0, 0, false, false, false);
  }

  /** Returns these faults with another delay. */
  public PlatformFaults withDelayMilliseconds(long value) {
    return new PlatformFaults(outage, value, answersToLose, leasesFrozen, listFrozen, staleReads);
  }

  /** Returns these faults with another number of answers to lose. */
  public PlatformFaults withAnswersToLose(int value) {
    return new PlatformFaults(
        outage, delayMilliseconds, value, leasesFrozen, listFrozen, staleReads);
  }

  /** Returns these faults with leases that end or don't. */
  public PlatformFaults withLeasesFrozen(boolean value) {
    return new PlatformFaults(
        outage, delayMilliseconds, answersToLose, value, listFrozen, staleReads);
  }

  /** Returns these faults with a list that changes or doesn't. */
  public PlatformFaults withListFrozen(boolean value) {
    return new PlatformFaults(
        outage, delayMilliseconds, answersToLose, leasesFrozen, value, staleReads);
  }

  /** Returns these faults with reads that are up to date or aren't. */
  public PlatformFaults withStaleReads(boolean value) {
    return new PlatformFaults(
        outage, delayMilliseconds, answersToLose, leasesFrozen, listFrozen, value);
  }
}
