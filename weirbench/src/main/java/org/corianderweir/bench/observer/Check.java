package org.corianderweir.bench.observer;

/** Checks whether one promise of the system holds for the evidence of a run. */
public interface Check {
  /** Returns whether the promise was kept, with the violations if it was not. */
  Verdict check(Evidence evidence);
}
