package org.corianderweir.logic.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Admits the requests of one organisation at one entry instance. A request is admitted at once if a
 * token is available. Otherwise it can be queued; queued requests are admitted in order of arrival
 * as tokens become available, and refused if that does not happen before their deadline.
 * Thread-safe; listeners are called outside the lock.
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

  /** Receives the decision on a queued request. */
  public interface AdmissionListener {
    /** Called once with the decision, by the thread that made it. */
    void onDecision(AdmissionDecision decision);
  }

  /**
   * Creates a controller with an empty queue.
   *
   * @param bucket tokens that this instance may spend
   * @param attainableRate largest rate that this instance can get by loans, in tokens a second
   */
  public AdmissionController(SliceBucket bucket, double attainableRate) {
    this.bucket = bucket;
    this.attainableRate = attainableRate;
  }

  /** Returns the bucket. */
  public SliceBucket bucket() {
    return bucket;
  }

  /** Sets the rate that this instance holds now, from which the retry-after time is computed. */
  public void setHeldRate(double tokensPerSecond) {
    heldRate = tokensPerSecond;
  }

  /** Sets the largest rate that this instance can get by loans, in tokens a second. */
  public void setAttainableRate(double tokensPerSecond) {
    attainableRate = tokensPerSecond;
  }

  /**
   * Admits a request at once if a token is available and no request is queued. Does not allocate
   * memory.
   */
  public boolean tryAdmit(long nowNanoseconds) {
    if (queueLength > 0) {
      bucket.recordArrival(1);
      return false;
    }
    return bucket.tryConsume(1, nowNanoseconds);
  }

  /**
   * Queues a request that was not admitted at once. Returns false if the queue is full or the
   * request can't be admitted before its deadline; the listener is not called then.
   */
  public synchronized boolean tryEnqueue(
      AdmissionListener listener, long deadlineNanoseconds, long nowNanoseconds) {
    if (!mayQueue(deadlineNanoseconds, nowNanoseconds)) {
      return false;
    }
    queue.addLast(new QueuedRequest(listener, deadlineNanoseconds));
    queueLength = queue.size();
    bucket.setBacklog(queue.size());
    return true;
  }

  private boolean mayQueue(long deadlineNanoseconds, long nowNanoseconds) {
    double rate = attainableRate;
    double waitNanoseconds = rate <= 0 ? 0 : queue.size() * NANOSECONDS_PER_SECOND / rate;
    boolean missesDeadline = nowNanoseconds + waitNanoseconds > deadlineNanoseconds;
    return !missesDeadline && queue.size() < MAXIMUM_QUEUE_LENGTH;
  }

  /** Returns what would be decided on a request now, without counting or queueing it. */
  public synchronized AdmissionPreview preview(long deadlineNanoseconds, long nowNanoseconds) {
    if (queueLength == 0 && bucket.has(1, nowNanoseconds)) {
      return new AdmissionPreview.Admitted();
    }
    return mayQueue(deadlineNanoseconds, nowNanoseconds)
        ? new AdmissionPreview.Queued()
        : new AdmissionPreview.Refused(retryAfterMilliseconds());
  }

  /** Returns how long a refused caller should wait before it tries again. */
  public long retryAfterMilliseconds() {
    double rate = heldRate;
    if (rate <= 0) {
      return DEFAULT_RETRY_AFTER_MILLISECONDS;
    }
    return (long) Math.ceil((queueLength + 1) * 1_000.0 / rate);
  }

  /** Returns the number of queued requests. */
  public int queueLength() {
    return queueLength;
  }

  /**
   * Admits queued requests while tokens are available and refuses those whose deadline has passed.
   */
  public void processQueue(long nowNanoseconds) {
    if (queueLength == 0) {
      return;
    }
    List<DecidedRequest> decided = dequeueDecided(nowNanoseconds);
    decided.forEach(request -> request.listener().onDecision(request.decision()));
  }

  /** Refuses all queued requests, because the limit is no longer defined. */
  public void close() {
    List<QueuedRequest> dropped;
    synchronized (this) {
      dropped = List.copyOf(queue);
      queue.clear();
      queueLength = 0;
    }
    AdmissionDecision refused = new AdmissionDecision.Refused(DEFAULT_RETRY_AFTER_MILLISECONDS);
    dropped.forEach(request -> request.listener().onDecision(refused));
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
