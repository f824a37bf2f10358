package org.corianderweir.logic.limits;

import java.util.Optional;

/**
 * The token bucket of one limit at one entry instance. It holds the instance's own slice, minus
 * what was lent, plus what was borrowed. A loan transfers rate and capacity, so at any moment the
 * rates of all instances add up to at most the limit's rate and their tokens to at most its burst.
 * The refill is slowed down by the maximum clock drift, so that a fast clock admits no excess.
 * Thread-safe.
 */
public final class SliceBucket implements LendableSlice {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final double DEMAND_HEADROOM_RATIO = 1.05;
  private static final double DEMAND_TOLERANCE_RATIO = 0.1;
  private static final double REFILL_LOOKAHEAD_SECONDS = 0.05;
  private static final double BACKLOG_DRAIN_SECONDS = 1;
  private static final double MAXIMUM_DRAIN_RATIO = 0.5;
  private static final double ROUNDING_TOLERANCE_TOKENS = 1e-9;

  private final OutstandingLoans lent = new OutstandingLoans();
  private final OutstandingLoans borrowed = new OutstandingLoans();
  private final DemandMeter demand;
  private Allowance own = Allowance.NONE;
  private long ownValidUntilNanoseconds = Long.MIN_VALUE;
  private boolean ownActive;
  private double backlogTokens;
  private double rate;
  private double capacity;
  private double tokens;
  private long updatedNanoseconds;
  private long nextChangeNanoseconds = Long.MAX_VALUE;

  /** Creates a bucket without any allowance. */
  public SliceBucket(long nowNanoseconds) {
    updatedNanoseconds = nowNanoseconds;
    demand = new DemandMeter(nowNanoseconds);
  }

  /**
   * Counts an arrival and consumes its tokens if enough are available. Does not allocate memory.
   */
  public synchronized boolean tryConsume(double amount, long nowNanoseconds) {
    demand.recordArrival(amount);
    return tryConsumeQueued(amount, nowNanoseconds);
  }

  /** Counts an arrival that does not consume its tokens yet. */
  public synchronized void recordArrival(double amount) {
    demand.recordArrival(amount);
  }

  /** Consumes tokens, if enough are available, for a request that was counted when it arrived. */
  public synchronized boolean tryConsumeQueued(double amount, long nowNanoseconds) {
    if (!has(amount, nowNanoseconds)) {
      return false;
    }
    tokens -= amount;
    return true;
  }

  /** Returns whether tokens are available now; neither consumes them nor counts an arrival. */
  public synchronized boolean has(double amount, long nowNanoseconds) {
    advance(nowNanoseconds);
    return tokens + ROUNDING_TOLERANCE_TOKENS >= amount;
  }

  /** Sets how many tokens the queued requests need, which raises the demand. */
  public synchronized void setBacklog(double waitingTokens) {
    backlogTokens = waitingTokens;
  }

  @Override
  public synchronized void setOwnAllowance(Allowance newOwn, long nowNanoseconds) {
    advance(nowNanoseconds);
    own = newOwn;
    recomputeTotals();
  }

  @Override
  public synchronized void renewOwnAllowance(long validUntilNanoseconds, long nowNanoseconds) {
    advance(nowNanoseconds);
    ownValidUntilNanoseconds = validUntilNanoseconds;
    ownActive = validUntilNanoseconds > nowNanoseconds;
    recomputeTotals();
  }

  @Override
  public synchronized Optional<LoanAmount> lend(
      LoanIdentifier loan, Allowance wanted, long lifetimeNanoseconds, long nowNanoseconds) {
    advance(nowNanoseconds);
    if (!ownActive || lent.contains(loan)) {
      return Optional.empty();
    }
    Allowance unlent = own.minus(lent.total());
    double lentRate = Math.min(wanted.rate(), surplusRate(nowNanoseconds));
    double share = unlent.rate() > 0 ? Math.min(1, lentRate / unlent.rate()) : 0;
    double lentTokens = Math.min(unlent.capacity(), surplusTokens(wanted.capacity(), share));
    double lentCapacity =
        Math.min(unlent.capacity(), Math.max(share * unlent.capacity(), lentTokens));
    Allowance granted = new Allowance(lentRate, lentCapacity);
    if (granted.isEmpty()) {
      return Optional.empty();
    }
    tokens -= lentTokens;
    lent.add(loan, granted, nowNanoseconds + LimitTiming.withClockDriftMargin(lifetimeNanoseconds));
    recomputeTotals();
    return Optional.of(new LoanAmount(granted, lentTokens));
  }

  @Override
  public synchronized boolean borrow(
      LoanIdentifier loan, LoanAmount amount, long expiresNanoseconds, long nowNanoseconds) {
    advance(nowNanoseconds);
    if (expiresNanoseconds <= nowNanoseconds || borrowed.contains(loan)) {
      return false;
    }
    borrowed.add(loan, amount.allowance(), expiresNanoseconds);
    recomputeTotals();
    tokens = Math.min(capacity, tokens + amount.tokens());
    return true;
  }

  @Override
  public synchronized Optional<Double> returnBorrowed(LoanIdentifier loan, long nowNanoseconds) {
    advance(nowNanoseconds);
    double tokensBefore = tokens;
    if (borrowed.remove(loan).isEmpty()) {
      return Optional.empty();
    }
    recomputeTotals();
    return Optional.of(tokensBefore - tokens);
  }

  @Override
  public synchronized void acceptReturn(
      LoanIdentifier loan, double returnedTokens, long nowNanoseconds) {
    advance(nowNanoseconds);
    Optional<Allowance> returned = lent.remove(loan);
    if (returned.isEmpty()) {
      return;
    }
    recomputeTotals();
    double accepted = Math.min(returnedTokens, returned.get().capacity());
    tokens = Math.min(capacity, tokens + Math.max(0, accepted));
  }

  @Override
  public synchronized boolean extendBorrowed(
      LoanIdentifier loan, long expiresNanoseconds, long nowNanoseconds) {
    advance(nowNanoseconds);
    boolean extended = borrowed.extend(loan, expiresNanoseconds);
    recomputeTotals();
    return extended;
  }

  @Override
  public synchronized boolean extendLent(
      LoanIdentifier loan, long lifetimeNanoseconds, long nowNanoseconds) {
    advance(nowNanoseconds);
    boolean hasShortage = backlogTokens > 0 && demandedRate(nowNanoseconds) > rate;
    if (!ownActive || hasShortage || lent.total().exceeds(own)) {
      return false;
    }
    boolean extended =
        lent.extend(loan, nowNanoseconds + LimitTiming.withClockDriftMargin(lifetimeNanoseconds));
    recomputeTotals();
    return extended;
  }

  /** Returns the rate and capacity held now, without measuring demand. */
  public synchronized Allowance heldAllowance(long nowNanoseconds) {
    advance(nowNanoseconds);
    return activeAllowance();
  }

  /** Returns the number of tokens available now. */
  public synchronized double available(long nowNanoseconds) {
    advance(nowNanoseconds);
    return tokens;
  }

  @Override
  public synchronized Allowance surplus(long nowNanoseconds) {
    advance(nowNanoseconds);
    return ownActive
        ? new Allowance(surplusRate(nowNanoseconds), surplusTokens(tokens, 0))
        : Allowance.NONE;
  }

  @Override
  public synchronized DemandBalance measureDemandBalance(long nowNanoseconds) {
    advance(nowNanoseconds);
    double needed = demandedRate(nowNanoseconds);
    boolean hasShortage = backlogTokens > 0 || needed > rate * (1 + DEMAND_TOLERANCE_RATIO);
    double rateShortage = hasShortage ? Math.max(0, needed - rate) : 0;
    double projectedTokens = tokens + rate * REFILL_LOOKAHEAD_SECONDS;
    double tokenShortage =
        backlogTokens > 0 && backlogTokens > projectedTokens ? backlogTokens - tokens : 0;
    double excessRate = Math.max(0, rate - needed * (1 + DEMAND_TOLERANCE_RATIO));
    double neededCapacity = backlogTokens > 0 ? Math.max(1, tokens) : 0;
    double excessCapacity = Math.max(0, capacity - neededCapacity);
    return new DemandBalance(
        new Allowance(rateShortage, tokenShortage), new Allowance(excessRate, excessCapacity));
  }

  private Allowance activeAllowance() {
    return new Allowance(rate, capacity);
  }

  private double surplusRate(long nowNanoseconds) {
    double free = own.minus(lent.total()).rate();
    return Math.min(free, Math.max(0, rate - demandedRate(nowNanoseconds)));
  }

  /**
   * Returns the tokens to lend: the given share of the available tokens and, if no request is
   * queued here, as many of the rest as are needed to reach the wanted number.
   */
  private double surplusTokens(double wanted, double share) {
    double withRate = tokens * share;
    double rest = backlogTokens > 0 ? 0 : tokens - withRate;
    return Math.max(0, withRate + Math.min(rest, Math.max(0, wanted - withRate)));
  }

  /** Returns the rate that the demand needs, including some to drain the backlog. */
  private double demandedRate(long nowNanoseconds) {
    double arriving = demand.estimatePerSecond(nowNanoseconds);
    double drain = Math.min(backlogTokens / BACKLOG_DRAIN_SECONDS, arriving * MAXIMUM_DRAIN_RATIO);
    return arriving * DEMAND_HEADROOM_RATIO + drain;
  }

  /** Refills up to now and ends each loan and the own allowance at its expiry time. */
  private void advance(long nowNanoseconds) {
    while (nextChangeNanoseconds <= nowNanoseconds) {
      long change = nextChangeNanoseconds;
      refill(change);
      lent.expire(change);
      borrowed.expire(change);
      if (ownValidUntilNanoseconds <= change) {
        ownActive = false;
      }
      recomputeTotals();
    }
    refill(nowNanoseconds);
  }

  private void refill(long untilNanoseconds) {
    long elapsed = untilNanoseconds - updatedNanoseconds;
    if (elapsed <= 0) {
      return;
    }
    double gained =
        elapsed * rate / (NANOSECONDS_PER_SECOND * (1 + LimitTiming.MAXIMUM_CLOCK_DRIFT_RATIO));
    tokens = Math.min(capacity, tokens + gained);
    updatedNanoseconds = untilNanoseconds;
  }

  private void recomputeTotals() {
    Allowance active = ownActive ? own.minus(lent.total()) : Allowance.NONE;
    rate = active.rate() + borrowed.total().rate();
    capacity = active.capacity() + borrowed.total().capacity();
    tokens = Math.min(tokens, capacity);
    long next = Math.min(lent.nextExpiryNanoseconds(), borrowed.nextExpiryNanoseconds());
    nextChangeNanoseconds = ownActive ? Math.min(next, ownValidUntilNanoseconds) : next;
  }
}
