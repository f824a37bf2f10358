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
public final class AdmissionController {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final long DEFAULT_RETRY_AFTER_MILLISECONDS = 1_000;
  private static final int MAXIMUM_QUEUE_LENGTH = 10_000;

  private final SliceBucket bucket;
  private final Deque<QueuedRequest> queue = new ArrayDeque<>();
  private volatile int queueLength;
  private volatile double attainableRate;
  private volatile double heldRate;

  private record QueuedRequest(AdmissionListener listener, long deadlineNanoseconds) {}

  private record DecidedRequest(AdmissionListener listener, AdmissionDecision decision) {}

  /** A request that waits for an allowance. */
  public interface AdmissionListener {
    /** Tells the decision; called once, by the thread that made it. */
    void onDecision(AdmissionDecision decision);
  }

  /**
   * Creates a gate.
   *
   * @param bucket what this instance may spend
   * @param attainableRate largest rate that it can get by loans, tokens a second
   */
  public AdmissionController(SliceBucket bucket, double attainableRate) {
    this.bucket = bucket;
    this.attainableRate = attainableRate;
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
  public void setAttainableRate(double tokensPerSecond) {
    attainableRate = tokensPerSecond;
  }

  /** Admits a request at once if there is an allowance and nobody waits; allocates nothing. */
  public boolean tryAdmit(long nowNanoseconds) {
    if (queueLength > 0) {
      bucket.recordArrival(1);
      return false;
    }
    return bucket.tryConsume(1, nowNanoseconds);
  }

  /**
   * Lets a request wait that was not admitted at once. Returns false if it can't be admitted before
   * its deadline; the waiter is not told then.
   */
  public synchronized boolean tryEnqueue(
      AdmissionListener listener, long deadlineNanoseconds, long nowNanoseconds) {
    double rate = attainableRate;
    double waitNanoseconds = rate <= 0 ? 0 : queue.size() * NANOSECONDS_PER_SECOND / rate;
    boolean missesDeadline = nowNanoseconds + waitNanoseconds > deadlineNanoseconds;
    if (missesDeadline || queue.size() >= MAXIMUM_QUEUE_LENGTH) {
      return false;
    }
    queue.addLast(new QueuedRequest(listener, deadlineNanoseconds));
    queueLength = queue.size();
    bucket.setBacklog(queue.size());
    return true;
  }

  /** Returns how long a refused caller should wait before it tries again. */
  public long retryAfterMilliseconds() {
    double rate = heldRate;
    if (rate <= 0) {
      return DEFAULT_RETRY_AFTER_MILLISECONDS;
    }
    return (long) Math.ceil((queueLength + 1) * 1_000.0 / rate);
  }

  /** Returns the number of requests that wait. */
  public int queueLength() {
    return queueLength;
  }

  /** Admits waiting requests as far as the allowance goes and refuses those whose time is over. */
  public void processQueue(long nowNanoseconds) {
    if (queueLength == 0) {
      return;
    }
    List<DecidedRequest> decided = dequeueDecided(nowNanoseconds);
    decided.forEach(each -> each.listener().onDecision(each.decision()));
  }

  /** Refuses all requests that wait, because the limit is no longer defined. */
  public void close() {
    List<QueuedRequest> dropped;
    synchronized (this) {
      dropped = List.copyOf(queue);
      queue.clear();
      queueLength = 0;
    }
    AdmissionDecision refused = new AdmissionDecision.Refused(DEFAULT_RETRY_AFTER_MILLISECONDS);
    dropped.forEach(each -> each.listener().onDecision(refused));
  }

  private synchronized List<DecidedRequest> dequeueDecided(long nowNanoseconds) {
    List<DecidedRequest> decided = new ArrayList<>();
    while (!queue.isEmpty()) {
      QueuedRequest first = queue.getFirst();
      boolean deadlinePassed = first.deadlineNanoseconds() <= nowNanoseconds;
      if (!deadlinePassed && !bucket.tryConsumeQueued(1, nowNanoseconds)) {
        break;
      }
      queue.removeFirst();
      queueLength = queue.size();
      decided.add(
          new DecidedRequest(
              first.listener(),
              deadlinePassed
                  ? new AdmissionDecision.Refused(retryAfterMilliseconds())
                  : AdmissionDecision.ADMITTED));
    }
    bucket.setBacklog(queue.size());
    return decided;
  }
}
