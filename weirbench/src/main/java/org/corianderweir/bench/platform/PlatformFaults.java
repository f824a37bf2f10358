package org.corianderweir.bench.platform;

/**
 * The faults of the platform that are switched on.
 *
 * @param outage how the whole service fails
 * @param delayMilliseconds extra delay of each answer
 * @param answersToLose number of coming writes that take effect but whose answer is lost
 * @param leasesFrozen whether leases never expire
 * @param listFrozen whether the list of instances stays as it was when the fault was switched on
 * @param staleReads whether reads return the values of the moment when the fault was switched on
 */
public record PlatformFaults(
    Outage outage,
    long delayMilliseconds,
    int answersToLose,
    boolean leasesFrozen,
    boolean listFrozen,
    boolean staleReads) {
  /** No faults. */
  public static final PlatformFaults NONE =
      new PlatformFaults(Outage.NONE, 0, 0, false, false, false);

  /** How the whole service fails. */
  public enum Outage {
    /** The service works. */
    NONE,
    /** Every call is refused at once and has no effect. */
    REFUSES,
    /** No call is answered or has an effect. */
    SILENT
  }

  /** Returns faults that consist of an outage of the whole service only. */
  public static PlatformFaults of(Outage outage) {
    return new PlatformFaults(outage, 0, 0, false, false, false);
  }

  /** Returns these faults with the given extra delay of each answer. */
  public PlatformFaults withDelayMilliseconds(long value) {
    return new PlatformFaults(outage, value, answersToLose, leasesFrozen, listFrozen, staleReads);
  }

  /** Returns these faults with the given number of answers to lose. */
  public PlatformFaults withAnswersToLose(int value) {
    return new PlatformFaults(
        outage, delayMilliseconds, value, leasesFrozen, listFrozen, staleReads);
  }

  /** Returns these faults with leases that never expire, or that expire as usual. */
  public PlatformFaults withLeasesFrozen(boolean value) {
    return new PlatformFaults(
        outage, delayMilliseconds, answersToLose, value, listFrozen, staleReads);
  }

  /** Returns these faults with a frozen or an up-to-date list of instances. */
  public PlatformFaults withListFrozen(boolean value) {
    return new PlatformFaults(
        outage, delayMilliseconds, answersToLose, leasesFrozen, value, staleReads);
  }

  /** Returns these faults with stale or up-to-date reads. */
  public PlatformFaults withStaleReads(boolean value) {
    return new PlatformFaults(
        outage, delayMilliseconds, answersToLose, leasesFrozen, listFrozen, value);
  }
}
