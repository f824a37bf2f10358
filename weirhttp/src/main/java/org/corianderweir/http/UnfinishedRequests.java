package org.corianderweir.http;

import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/**
 * Limits what the unfinished requests of a listener occupy: bytes without the end of a head or of a
 * chunk line, connections, and the memory of bodies that stopped before their end. At a limit it
 * closes the connection that holds most, or the one whose request has been unfinished for longest.
 * Thread-safe.
 */
final class UnfinishedRequests {
  /** Two lines about closed connections are at least this far apart. */
  private static final Duration LOG_INTERVAL = Duration.ofSeconds(10);

  /** A head that arrived in time is read later if the process waits for a processor. */
  private static final Duration HEAD_TIMEOUT_MARGIN = Duration.ofSeconds(1);

  private static final Logger LOGGER = Logger.getLogger(UnfinishedRequests.class);

  private final String name;
  private final UnfinishedLimits limits;
  private final int connectionLimit;
  private final BodyMemory bodies;
  private final MemoryBudget memory;
  private final Set<InboundStream> streams = ConcurrentHashMap.newKeySet();
  private final AtomicInteger unfinishedCount = new AtomicInteger();
  private final Map<ClosureCause, LongAdder> closures = new ConcurrentHashMap<>();
  private final LongAdder closureCount = new LongAdder();
  private volatile long loggedClosureCount;
  private long loggedNanoseconds;
  private volatile Duration headTimeout;

  UnfinishedRequests(HttpListenerOptions options) {
    name = options.name();
    limits = options.unfinished();
    connectionLimit = Math.max(1, (int) (limits.connectionRatio() * options.connectionLimit()));
    bodies = options.memory();
    memory = new MemoryBudget(limits.memoryBytes());
    headTimeout = limits.headTimeout();
    loggedNanoseconds = System.nanoTime() - LOG_INTERVAL.toNanos();
  }

  void setHeadTimeout(Duration timeout) {
    headTimeout = timeout;
  }

  /** Returns how many connections were closed for each cause. */
  Map<ClosureCause, Long> closures() {
    return closures.entrySet().stream()
        .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().sum()));
  }

  /** Returns the bytes that are held of unfinished requests. */
  long heldBytes() {
    return memory.reservedBytes();
  }

  void count(ClosureCause cause) {
    closures.computeIfAbsent(cause, unused -> new LongAdder()).increment();
    closureCount.increment();
  }

  void add(InboundStream stream) {
    streams.add(stream);
    stream.connection().addCloseListener((closed, type) -> remove(stream));
  }

  /** Records that the request of a connection became unfinished or was finished. */
  void onChange(InboundStream stream) {
    int change = stream.countChange();
    if (unfinishedCount.addAndGet(change) > connectionLimit && change > 0) {
      closeOldest(ClosureCause.TOO_MANY_UNFINISHED);
    }
  }

  /**
   * Closes the connection whose request has been unfinished for longest; false if there is none.
   */
  boolean closeOldest(ClosureCause cause) {
    Optional<InboundStream> oldest =
        streams.stream()
            .filter(InboundStream::isUnfinished)
            .min(Comparator.comparingLong(InboundStream::unfinishedSinceNanoseconds));
    oldest.ifPresent(victim -> close(victim, cause));
    return oldest.isPresent();
  }

  /**
   * Sets the bytes that a connection holds. When the budget is used up, the connection that holds
   * most is closed; returns false if it is this one.
   */
  boolean reserve(InboundStream stream, long bytes) {
    long more = bytes - stream.reservedBytes();
    if (more <= 0) {
      stream.lease().release(memory, -more);
      stream.setReservedBytes(bytes);
      return true;
    }
    while (!stream.lease().tryReserve(memory, more)) {
      Optional<InboundStream> largest =
          streams.stream()
              .filter(other -> other != stream)
              .max(Comparator.comparingLong(InboundStream::reservedBytes))
              .filter(other -> other.reservedBytes() > bytes);
      if (largest.isEmpty() || !streams.contains(stream)) {
        close(stream, ClosureCause.MEMORY);
        return false;
      }
      close(largest.get(), ClosureCause.MEMORY);
    }
    stream.setReservedBytes(bytes);
    return true;
  }

  /** Closes the connections that take too long, and logs how many were closed. */
  void sweep(long nowNanoseconds) {
    boolean bodiesShort = isShort(bodies.small()) || isShort(bodies.large());
    long headLimit = headTimeout.plus(HEAD_TIMEOUT_MARGIN).toNanos();
    for (InboundStream stream : streams) {
      if (stream.isInHead() && nowNanoseconds - stream.unfinishedSinceNanoseconds() > headLimit) {
        close(stream, ClosureCause.HEAD_TIMEOUT);
      } else if (bodiesShort
          && stream.isInBody()
          && nowNanoseconds - stream.latestBytesNanoseconds() > limits.stallTimeout().toNanos()) {
        close(stream, ClosureCause.STALLED_BODY);
      }
    }
    log(nowNanoseconds);
  }

  /** Returns whether less than a quarter of a budget is left. */
  private static boolean isShort(MemoryBudget budget) {
    return budget.limitBytes() > 0 && budget.reservedBytes() > budget.limitBytes() / 4 * 3;
  }

  /** Returns whether connections were closed that no log line counts yet. */
  boolean hasClosuresToLog() {
    return closureCount.sum() > loggedClosureCount;
  }

  private void log(long nowNanoseconds) {
    if (hasClosuresToLog() && nowNanoseconds - loggedNanoseconds >= LOG_INTERVAL.toNanos()) {
      loggedClosureCount = closureCount.sum();
      loggedNanoseconds = nowNanoseconds;
      LOGGER.warnf("%s: connections closed at limits until now: %s", name, closures());
    }
  }

  private void close(InboundStream stream, ClosureCause cause) {
    if (remove(stream)) {
      count(cause);
      stream.connection().terminateSilently();
    }
  }

  private boolean remove(InboundStream stream) {
    boolean present = streams.remove(stream);
    if (present) {
      stream.lease().end();
      if (stream.leave()) {
        unfinishedCount.decrementAndGet();
      }
    }
    return present;
  }
}
