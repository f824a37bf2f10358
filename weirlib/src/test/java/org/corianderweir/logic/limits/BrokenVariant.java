package org.corianderweir.logic.limits;

/** Deliberate faults in the limits, which show that the check of the histories detects excess. */
enum BrokenVariant {
  NONE,
  LENDER_DOES_NOT_DEDUCT,
  EXPIRY_FROM_ARRIVAL,
  NEW_HOLDER_STARTS_FULL,
  NO_CONFIRMATION_TIMEOUT,
  DUPLICATE_GRANT_COUNTS;

  private static final LoanIdentifier FORGED = new LoanIdentifier("forged", 0, 0);
  private static final long NEVER_EXPIRES_NANOSECONDS = Long.MAX_VALUE / 2;

  /** Applies the fault to a lender that has just sent a message. */
  void afterSending(SliceBucket bucket, LoanMessage message, long nowNanoseconds) {
    if (this == LENDER_DOES_NOT_DEDUCT && message instanceof LoanMessage.Grant grant) {
      bucket.acceptReturn(grant.loan(), grant.amount().tokens(), nowNanoseconds);
    }
  }

  /** Applies the fault to a borrower that has just handled a message. */
  void afterReceiving(SliceBucket bucket, LoanMessage message, long nowNanoseconds) {
    long end = nowNanoseconds + LimitTiming.LOAN_LIFETIME.toNanos();
    if (this == EXPIRY_FROM_ARRIVAL && message instanceof LoanMessage.Grant grant) {
      bucket.extendBorrowed(grant.loan(), end, nowNanoseconds);
    }
    if (this == DUPLICATE_GRANT_COUNTS && message instanceof LoanMessage.Grant grant) {
      LoanIdentifier other = new LoanIdentifier("again", nowNanoseconds, grant.loan().sequence());
      bucket.borrow(other, grant.amount(), end, nowNanoseconds);
    }
  }

  /** Applies the fault to a holder after its slots may have changed. */
  void afterSlots(SliceBucket bucket, boolean isNew, Allowance limit, long nowNanoseconds) {
    if (this == NEW_HOLDER_STARTS_FULL && isNew) {
      LendableSlice.LoanAmount full =
          new LendableSlice.LoanAmount(Allowance.NONE, limit.capacity());
      bucket.borrow(FORGED, full, nowNanoseconds + 1, nowNanoseconds);
    }
    if (this == NO_CONFIRMATION_TIMEOUT) {
      bucket.renewOwnAllowance(NEVER_EXPIRES_NANOSECONDS, nowNanoseconds);
    }
  }
}
