package org.corianderweir.logic.limits;

/** Deliberate faults that show that the check of the histories can fail. */
enum BrokenVariant {
  NONE,
  LENDER_DOES_NOT_DEDUCT,
  EXPIRY_FROM_ARRIVAL,
  NEW_HOLDER_STARTS_FULL,
  NO_CONFIRMATION_TIMEOUT,
  DUPLICATE_GRANT_COUNTS;

  private static final LoanIdentifier FORGED = new LoanIdentifier("forged", 0, 0);
  private static final long NEVER_EXPIRES_NANOSECONDS = Long.MAX_VALUE / 2;

  /** Spoils a lender that has just answered. */
  void afterSending(SliceBucket bucket, LoanMessage message, long nowNanoseconds) {
    if (this == LENDER_DOES_NOT_DEDUCT && message instanceof LoanMessage.Grant grant) {
      bucket.acceptReturn(grant.loan(), grant.amount().tokens(), nowNanoseconds);
    }
  }

  /** Spoils a borrower that has just handled a message. */
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

  /** Spoils a holder after its slots changed. */
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
