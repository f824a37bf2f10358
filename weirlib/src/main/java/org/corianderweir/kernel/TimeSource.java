package org.corianderweir.kernel;

/**
 * The source of the present time of a process. Decision logic doesn't read it but gets the time as
 * an argument.
 */
public interface TimeSource {
  /** Returns the monotonic time in nanoseconds; only differences of it have a meaning. */
  long monotonicNanoseconds();

  /** Returns the wall time in milliseconds since the epoch, which can jump in both directions. */
  long wallMilliseconds();
}
