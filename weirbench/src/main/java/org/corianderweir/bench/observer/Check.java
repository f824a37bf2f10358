package org.corianderweir.bench.observer;

/** A check of one promise over the evidence of a run. */
public interface Check {
  /** Returns whether the promise was kept, and each case in which it was not. */
  Verdict check(Evidence evidence);
}
