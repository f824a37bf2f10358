package org.corianderweir.bench.limits;

/** A way to hold an organisation to its rate. */
sealed interface Admitter permits IdealAdmitter, LoanAdmitter, FixedAdmitter, OwnerAdmitter {
  /** Takes a request at an instance; the tally is told of the outcome when it is known. */
  void request(int instance, boolean measured);
}
