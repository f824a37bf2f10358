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

/** Lets a platform fail on demand, holds it to its rates and counts its calls. Thread-safe. */
public final class FaultyPlatform implements PlatformService {
  private final InMemoryPlatform delegate;
  private final TimeSource time;
  private final TokenBucket writeBucket;
  private final TokenBucket readBucket;
  private PlatformFaults faults = PlatformFaults.NONE;
  private Optional<List<ListedInstance>> frozenList = Optional.empty();
  private final Map<String, Optional<StoredValue>> staleValues = new HashMap<>();
  private long writes;
  private long reads;
  private long refused;

  /** Creates a platform without faults. */
  public FaultyPlatform(InMemoryPlatform delegate, PlatformRates rates, TimeSource time) {
    this.delegate = delegate;
    this.time = time;
    long now = time.monotonicNanoseconds();
    writeBucket = bucket(rates.writesPerSecond(), now);
    readBucket = bucket(rates.readsPerSecond(), now);
  }

  /** Switches faults on and off. */
  public synchronized void setFaults(PlatformFaults changed) {
    delegate.setLeasesFrozen(changed.leasesFrozen());
    frozenList =
        changed.listFrozen() ? Optional.of(delegate.listInstances().join()) : Optional.empty();
    staleValues.clear();
    if (changed.staleReads()) {
      delegate.keys().forEach(key -> staleValues.put(key, delegate.read(key).join()));
    }
    faults = changed;
  }

  /** Returns the faults that are switched on. */
  public synchronized PlatformFaults faults() {
    return faults;
  }

  /** Returns how many calls there were. */
  public synchronized PlatformCalls calls() {
    return new PlatformCalls(writes, reads, refused);
  }

  @Override
  public CompletableFuture<Optional<StoredValue>> read(String key) {
    return reading(() -> readWithFaults(key));
  }

  @Override
  public CompletableFuture<Optional<StoredValue>> watch(
      String key, long knownVersion, Duration patience) {
    return reading(() -> delegate.watch(key, knownVersion, patience));
  }

  @Override
  public CompletableFuture<WriteResult> compareAndSwap(
      String key, long expectedVersion, String value) {
    return writing(() -> delegate.compareAndSwap(key, expectedVersion, value));
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, long expectedVersion) {
    return writing(() -> delegate.delete(key, expectedVersion));
  }

  @Override
  public CompletableFuture<LeaseResult> acquireLease(
      String name, String holder, Duration duration) {
    return writing(() -> delegate.acquireLease(name, holder, duration));
  }

  @Override
  public CompletableFuture<Void> releaseLease(String name, String holder) {
    return writing(() -> delegate.releaseLease(name, holder));
  }

  @Override
  public CompletableFuture<List<ListedInstance>> listInstances() {
    return reading(this::listWithFaults);
  }

  private synchronized CompletableFuture<Optional<StoredValue>> readWithFaults(String key) {
    return faults.staleReads()
        ? CompletableFuture.completedFuture(staleValues.getOrDefault(key, Optional.empty()))
        : delegate.read(key);
  }

  private synchronized CompletableFuture<List<ListedInstance>> listWithFaults() {
    return frozenList.map(CompletableFuture::completedFuture).orElseGet(delegate::listInstances);
  }

  private <T> CompletableFuture<T> reading(Supplier<CompletableFuture<T>> call) {
    synchronized (this) {
      reads++;
    }
    return admitted(readBucket, call, false);
  }

  private <T> CompletableFuture<T> writing(Supplier<CompletableFuture<T>> call) {
    synchronized (this) {
      writes++;
    }
    return admitted(writeBucket, call, true);
  }

  private <T> CompletableFuture<T> admitted(
      TokenBucket bucket, Supplier<CompletableFuture<T>> call, boolean isWrite) {
    PlatformFaults current = faults();
    return switch (current.outage()) {
      case REFUSES -> unavailable("outage");
      case SILENT -> new CompletableFuture<>();
      case NONE -> {
        if (!take(bucket)) {
          yield unavailable("too many calls");
        }
        CompletableFuture<T> answer = call.get();
        if (isWrite && loseAnswer()) {
          answer = answer.thenCompose(unused -> lost());
        }
        yield delayed(answer, current.delayMilliseconds());
      }
    };
  }

  private synchronized boolean take(TokenBucket bucket) {
    boolean taken = bucket.tryTake(1, time.monotonicNanoseconds());
    if (!taken) {
      refused++;
    }
    return taken;
  }

  private synchronized boolean loseAnswer() {
    if (faults.answersToLose() == 0) {
      return false;
    }
    faults = faults.withAnswersToLose(faults.answersToLose() - 1);
    return true;
  }

  private static <T> CompletableFuture<T> delayed(CompletableFuture<T> answer, long milliseconds) {
    if (milliseconds == 0) {
      return answer;
    }
    return answer.thenApplyAsync(
        value -> value, CompletableFuture.delayedExecutor(milliseconds, TimeUnit.MILLISECONDS));
  }

  private static <T> CompletableFuture<T> unavailable(String reason) {
    return CompletableFuture.failedFuture(
        new WeirException(ErrorCode.PLATFORM_UNAVAILABLE, reason));
  }

  private static <T> CompletableFuture<T> lost() {
    return CompletableFuture.failedFuture(
        new WeirException(ErrorCode.ANSWER_LOST, "the answer got lost after the write"));
  }

  private static TokenBucket bucket(int perSecond, long nowNanoseconds) {
    return new TokenBucket(perSecond, perSecond, perSecond, nowNanoseconds);
  }
}
