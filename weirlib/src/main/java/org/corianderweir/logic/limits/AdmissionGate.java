package org.corianderweir.logic.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Admits the requests of one organisation at one entry instance: at once if there is an allowance,
 * else in order of arrival when there is one, and refuses those that it can't admit before their
 * deadline. Thread-safe; waiters are told outside the lock.
 */
public final class AdmissionGate {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final long RETRY_WITHOUT_RATE_MILLISECONDS = 1_000;
  private static final int WAITING_LIMIT = 10_000;

  private final SliceBucket bucket;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private volatile int waitingCount;
  private volatile double reachableRate;
  private volatile double heldRate;

  private record Waiting(Waiter waiter, long deadlineNanoseconds) {}

  private record Decided(Waiter waiter, AdmissionDecision decision) {}

  /** A request that waits for an allowance. */
  public interface Waiter {
    /** Tells the decision; called once, by the thread that made it. */
    void decided(AdmissionDecision decision);
  }

  /**
   * Creates a gate.
   *
   * @param bucket what this instance may spend
   * @param reachableRate largest rate that it can get by loans, tokens a second
   */
  public AdmissionGate(SliceBucket bucket, double reachableRate) {
    this.bucket = bucket;
    this.reachableRate = reachableRate;
  }

  /** Returns the bucket. */
  public SliceBucket bucket() {
    return bucket;
  }

  /** Sets the rate that this instance holds now, from which the time to retry is worked out. */
  public void setHeldRate(double tokensPerSecond) {
    heldRate = tokensPerSecond;
  }

  /** Sets the largest rate that this instance can get by loans, tokens a second. */
  public void setReachableRate(double tokensPerSecond) {
    reachableRate = tokensPerSecond;
  }

  /** Admits a request at once if there is an allowance and nobody waits; allocates nothing. */
  public boolean tryAdmit(long nowNanoseconds) {
    if (waitingCount > 0) {
      bucket.countArrival(1);
      return false;
    }
    return bucket.tryTake(1, nowNanoseconds);
  }

  /**
   * Lets a request wait that was not admitted at once. Returns false if it can't be admitted before
   * its deadline; the waiter is not told then.
   */
  public synchronized boolean tryWait(
      Waiter waiter, long deadlineNanoseconds, long nowNanoseconds) {
    double rate = reachableRate;
    double waitNanoseconds = rate <= 0 ? 0 : waiting.size() * NANOSECONDS_PER_SECOND / rate;
    boolean hopeless = nowNanoseconds + waitNanoseconds > deadlineNanoseconds;
    if (hopeless || waiting.size() >= WAITING_LIMIT) {
      return false;
    }
    waiting.addLast(new Waiting(waiter, deadlineNanoseconds));
    waitingCount = waiting.size();
    bucket.setBacklog(waiting.size());
    return true;
  }

  /** Returns how long a refused caller should wait before it tries again. */
  public long retryAfterMilliseconds() {
    double rate = heldRate;
    if (rate <= 0) {
      return RETRY_WITHOUT_RATE_MILLISECONDS;
    }
    return (long) Math.ceil((waitingCount + 1) * 1_000.0 / rate);
  }

  /** Returns the number of requests that wait. */
  public int waiting() {
    return waitingCount;
  }

  /** Admits waiting requests as far as the allowance goes and refuses those whose time is over. */
  public void pump(long nowNanoseconds) {
    if (waitingCount == 0) {
      return;
    }
    List<Decided> decided = decide(nowNanoseconds);
    decided.forEach(each -> each.waiter().decided(each.decision()));
  }

  /** Refuses all requests that wait, because the limit is no longer defined. */
  public void close() {
    List<Waiting> dropped;
    synchronized (this) {
      dropped = List.copyOf(waiting);
      waiting.clear();
      waitingCount = 0;
    }
    AdmissionDecision refused = new AdmissionDecision.Refused(RETRY_WITHOUT_RATE_MILLISECONDS);
    dropped.forEach(each -> each.waiter().decided(refused));
  }

  private synchronized List<Decided> decide(long nowNanoseconds) {
    List<Decided> decided = new ArrayList<>();
    while (!waiting.isEmpty()) {
      Waiting first = waiting.getFirst();
      boolean late = first.deadlineNanoseconds() <= nowNanoseconds;
      if (!late && !bucket.tryTakeWaiting(1, nowNanoseconds)) {
        break;
      }
      waiting.removeFirst();
      waitingCount = waiting.size();
      decided.add(
          new Decided(
              first.waiter(),
              late
                  ? new AdmissionDecision.Refused(retryAfterMilliseconds())
                  : AdmissionDecision.ADMITTED));
    }
    bucket.setBacklog(waiting.size());
    return decided;
  }
}
