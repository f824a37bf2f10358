package org.corianderweir.bench.platform;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.limits.TokenBucket;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.platform.LeaseResult;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.platform.StoredValue;
import org.corianderweir.model.platform.WriteResult;

/**
 * Adds faults, call rate limits and call counts to an in-memory platform. Thread-safe.
 *
 * <p>Calls above the rates fail with {@link ErrorCode#PLATFORM_UNAVAILABLE}.
 */
public final class FaultInjectingPlatform implements PlatformService {
  private final InMemoryPlatform delegate;
  private final TimeSource time;
  private final TokenBucket writeBucket;
  private final TokenBucket readBucket;
  private PlatformFaults faults = PlatformFaults.NONE;
  private Optional<List<ListedInstance>> frozenInstances = Optional.empty();
  private final Map<String, Optional<StoredValue>> staleValues = new HashMap<>();
  private long writeCalls;
  private long readCalls;
  private long refusedCalls;

  /** Creates a platform with no faults switched on. */
  public FaultInjectingPlatform(InMemoryPlatform delegate, PlatformRates rates, TimeSource time) {
    this.delegate = delegate;
    this.time = time;
    long now = time.monotonicNanoseconds();
    writeBucket = createBucket(rates.writesPerSecond(), now);
    readBucket = createBucket(rates.readsPerSecond(), now);
  }

  /**
   * Replaces the faults that are switched on. Frozen lists and stale reads keep the data of this
   * moment.
   */
  public synchronized void setFaults(PlatformFaults newFaults) {
    delegate.setLeasesFrozen(newFaults.leasesFrozen());
    frozenInstances =
        newFaults.listFrozen() ? Optional.of(delegate.listInstances().join()) : Optional.empty();
    staleValues.clear();
    if (newFaults.staleReads()) {
      delegate.keys().forEach(key -> staleValues.put(key, delegate.read(key).join()));
    }
    faults = newFaults;
  }

  /** Returns the faults that are switched on. */
  public synchronized PlatformFaults faults() {
    return faults;
  }

  /** Returns the numbers of calls since the start. */
  public synchronized PlatformCalls calls() {
    return new PlatformCalls(writeCalls, readCalls, refusedCalls);
  }

  @Override
  public CompletableFuture<Optional<StoredValue>> read(String key) {
    return executeRead(() -> readWithFaults(key));
  }

  @Override
  public CompletableFuture<Optional<StoredValue>> watch(
      String key, long knownVersion, Duration maximumWait) {
    return executeRead(() -> delegate.watch(key, knownVersion, maximumWait));
  }

  @Override
  public CompletableFuture<WriteResult> compareAndSwap(
      String key, long expectedVersion, String value) {
    return executeWrite(() -> delegate.compareAndSwap(key, expectedVersion, value));
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, long expectedVersion) {
    return executeWrite(() -> delegate.delete(key, expectedVersion));
  }

  @Override
  public CompletableFuture<LeaseResult> acquireLease(
      String name, String holder, Duration duration) {
    return executeWrite(() -> delegate.acquireLease(name, holder, duration));
  }

  @Override
  public CompletableFuture<Void> releaseLease(String name, String holder) {
    return executeWrite(() -> delegate.releaseLease(name, holder));
  }

  @Override
  public CompletableFuture<List<ListedInstance>> listInstances() {
    return executeRead(this::listWithFaults);
  }

  private synchronized CompletableFuture<Optional<StoredValue>> readWithFaults(String key) {
    return faults.staleReads()
        ? CompletableFuture.completedFuture(staleValues.getOrDefault(key, Optional.empty()))
        : delegate.read(key);
  }

  private synchronized CompletableFuture<List<ListedInstance>> listWithFaults() {
    return frozenInstances
        .map(CompletableFuture::completedFuture)
        .orElseGet(delegate::listInstances);
  }

  private <T> CompletableFuture<T> executeRead(Supplier<CompletableFuture<T>> call) {
    synchronized (this) {
      readCalls++;
    }
    return execute(readBucket, call, false);
  }

  private <T> CompletableFuture<T> executeWrite(Supplier<CompletableFuture<T>> call) {
    synchronized (this) {
      writeCalls++;
    }
    return execute(writeBucket, call, true);
  }

  private <T> CompletableFuture<T> execute(
      TokenBucket bucket, Supplier<CompletableFuture<T>> call, boolean isWrite) {
    PlatformFaults current = faults();
    return switch (current.outage()) {
      case REFUSES -> unavailable("outage");
      case SILENT -> new CompletableFuture<>();
      case NONE -> {
        if (!tryConsume(bucket)) {
          yield unavailable("too many calls");
        }
        CompletableFuture<T> response = call.get();
        if (isWrite && tryLoseResponse()) {
          response = response.thenCompose(unused -> responseLost());
        }
        yield delayed(response, current.delayMilliseconds());
      }
    };
  }

  private synchronized boolean tryConsume(TokenBucket bucket) {
    boolean consumed = bucket.tryConsume(1, time.monotonicNanoseconds());
    if (!consumed) {
      refusedCalls++;
    }
    return consumed;
  }

  private synchronized boolean tryLoseResponse() {
    if (faults.answersToLose() == 0) {
      return false;
    }
    faults = faults.withAnswersToLose(faults.answersToLose() - 1);
    return true;
  }

  private static <T> CompletableFuture<T> delayed(
      CompletableFuture<T> response, long milliseconds) {
    if (milliseconds == 0) {
      return response;
    }
    return response.thenApplyAsync(
        value -> value, CompletableFuture.delayedExecutor(milliseconds, TimeUnit.MILLISECONDS));
  }

  private static <T> CompletableFuture<T> unavailable(String reason) {
    return CompletableFuture.failedFuture(
        new WeirException(ErrorCode.PLATFORM_UNAVAILABLE, reason));
  }

  private static <T> CompletableFuture<T> responseLost() {
    return CompletableFuture.failedFuture(
        new WeirException(ErrorCode.ANSWER_LOST, "the write took effect but its answer was lost"));
  }

  private static TokenBucket createBucket(int perSecond, long nowNanoseconds) {
    return new TokenBucket(perSecond, perSecond, perSecond, nowNanoseconds);
  }
}
