package org.corianderweir.kernel;

/** Where a process reads the present time. Deciding functions get the time as an argument. */
public interface TimeSource {
  /** Returns a time in nanoseconds that never jumps; only differences have a meaning. */
  long monotonicNanoseconds();

  /** Returns the wall time in milliseconds since the epoch; it can jump. */
  long wallMilliseconds();
}
