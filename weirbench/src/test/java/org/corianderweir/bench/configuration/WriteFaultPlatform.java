package org.corianderweir.bench.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.platform.LeaseResult;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.platform.StoredValue;
import org.corianderweir.model.platform.WriteResult;

/**
 * A platform that injects a fault into consecutive writes, from a given number of the write on.
 * Reads, watches and leases work normally.
 */
final class WriteFaultPlatform implements PlatformService {
  private final PlatformService delegate;
  private final Fault fault;
  private final int firstFaultyWrite;
  private final int faultyWriteCount;
  private int writeCount;

  /** The fault of a write. */
  enum Fault {
    /** The write takes effect, but its response is lost. */
    ANSWER_LOST,
    /** The write is lost, and the caller can't tell whether it took effect. */
    CALL_LOST,
    /** The platform refuses the write. */
    REFUSED
  }

  WriteFaultPlatform(
      PlatformService delegate, Fault fault, int firstFaultyWrite, int faultyWriteCount) {
    this.delegate = delegate;
    this.fault = fault;
    this.firstFaultyWrite = firstFaultyWrite;
    this.faultyWriteCount = faultyWriteCount;
  }

  @Override
  public CompletableFuture<Optional<StoredValue>> read(String key) {
    return delegate.read(key);
  }

  @Override
  public CompletableFuture<WriteResult> compareAndSwap(
      String key, long expectedVersion, String value) {
    return write(() -> delegate.compareAndSwap(key, expectedVersion, value));
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, long expectedVersion) {
    return write(() -> delegate.delete(key, expectedVersion));
  }

  @Override
  public CompletableFuture<Optional<StoredValue>> watch(
      String key, long knownVersion, Duration maximumWait) {
    return delegate.watch(key, knownVersion, maximumWait);
  }

  @Override
  public CompletableFuture<LeaseResult> acquireLease(
      String name, String holder, Duration duration) {
    return delegate.acquireLease(name, holder, duration);
  }

  @Override
  public CompletableFuture<Void> releaseLease(String name, String holder) {
    return delegate.releaseLease(name, holder);
  }

  @Override
  public CompletableFuture<List<ListedInstance>> listInstances() {
    return delegate.listInstances();
  }

  private CompletableFuture<WriteResult> write(Supplier<CompletableFuture<WriteResult>> call) {
    writeCount++;
    if (writeCount < firstFaultyWrite || writeCount >= firstFaultyWrite + faultyWriteCount) {
      return call.get();
    }
    return switch (fault) {
      case ANSWER_LOST -> call.get().thenCompose(result -> failed(ErrorCode.ANSWER_LOST));
      case CALL_LOST -> failed(ErrorCode.DEADLINE_EXCEEDED);
      case REFUSED -> failed(ErrorCode.PLATFORM_UNAVAILABLE);
    };
  }

  private static <T> CompletableFuture<T> failed(ErrorCode code) {
    return CompletableFuture.failedFuture(new WeirException(code, "injected fault"));
  }
}
