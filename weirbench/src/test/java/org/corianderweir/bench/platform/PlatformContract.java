package org.corianderweir.bench.platform;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.platform.LeaseResult;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.platform.StoredValue;
import org.corianderweir.model.platform.WriteResult;
import org.corianderweir.model.topology.EntryInstance;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that every {@link PlatformService} must pass; subclasses supply the implementation. */
public abstract class PlatformContract {
  static final PlatformRates RATES = new PlatformRates(300, 2_000);
  private static final Duration LEASE_DURATION = Duration.ofSeconds(5);
  private static final Duration WATCH_TIMEOUT = Duration.ofMillis(50);
  private static final ListedInstance LISTED_INSTANCE =
      new ListedInstance(
          new EntryInstance("entry-1", "lagos", "lagos-1", "127.1.1.1", 1, 2, 3), false);

  final ManualTime time = new ManualTime();
  private PlatformService service;
  private FaultInjectingPlatform faultInjection;

  /** Creates the implementation under test with an empty store. */
  abstract PlatformService service();

  /** Returns the platform behind the implementation, for switching its faults. */
  abstract FaultInjectingPlatform faultInjection();

  /** Replaces the list of instances. */
  abstract void setInstances(List<ListedInstance> instances);

  /** Returns the error code that a caller gets when the answer to a write is lost. */
  abstract ErrorCode lostAnswerCode();

  /** Creates the service under test. */
  @BeforeMethod
  public void prepare() {
    service = service();
    faultInjection = faultInjection();
  }

  @Test
  public void readsWhatWasWritten() {
    WriteResult result = service.compareAndSwap("key/1 ü", 0, "value ü\n").join();
    assertEquals(
        List.of(result, service.read("key/1 ü").join()),
        List.of(new WriteResult.Written(1), Optional.of(new StoredValue(1, "value ü\n"))));
  }

  @Test
  public void keepsValuesOfAlmostOneMegabyte() {
    String value = "x".repeat(999_999);
    service.compareAndSwap("large", 0, value).join();
    assertEquals(service.read("large").join(), Optional.of(new StoredValue(1, value)));
  }

  /** The expected version of a write, and its result while the current version is two. */
  @DataProvider
  public Object[][] expectations() {
    return new Object[][] {
      {0L, new WriteResult.Conflict(2)},
      {1L, new WriteResult.Conflict(2)},
      {2L, new WriteResult.Written(3)},
      {3L, new WriteResult.Conflict(2)}
    };
  }

  @Test(dataProvider = "expectations")
  public void writesOnlyOverTheExpectedVersion(long expected, WriteResult result) {
    service.compareAndSwap("key", 0, "first").join();
    service.compareAndSwap("key", 1, "second").join();
    assertEquals(service.compareAndSwap("key", expected, "third").join(), result);
  }

  @Test
  public void versionsGoOnAfterDeletion() {
    service.compareAndSwap("key", 0, "first").join();
    WriteResult wrong = service.delete("key", 7).join();
    WriteResult deleted = service.delete("key", 1).join();
    Optional<StoredValue> absent = service.read("key").join();
    WriteResult again = service.compareAndSwap("key", 0, "second").join();
    assertEquals(
        List.of(wrong, deleted, absent, again),
        List.of(
            new WriteResult.Conflict(1),
            new WriteResult.Written(1),
            Optional.empty(),
            new WriteResult.Written(2)));
  }

  @Test
  public void watchEndsWithTheNextWrite() {
    service.compareAndSwap("key", 0, "first").join();
    CompletableFuture<Optional<StoredValue>> watch =
        service.watch("key", 1, Duration.ofSeconds(30));
    service.compareAndSwap("key", 1, "second").join();
    assertEquals(watch.join(), Optional.of(new StoredValue(2, "second")));
  }

  @Test
  public void watchEndsWhenItsTimeIsOver() {
    assertEquals(service.watch("absent", 0, WATCH_TIMEOUT).join(), Optional.empty());
  }

  /** Time since the lease was acquired, who asks for it, whether leases are frozen, the result. */
  @DataProvider
  public Object[][] leases() {
    return new Object[][] {
      {Duration.ofSeconds(4), "second", false, new LeaseResult.HeldByOther("first")},
      {Duration.ofSeconds(4), "first", false, new LeaseResult.Granted(1)},
      {Duration.ofSeconds(5), "second", false, new LeaseResult.Granted(2)},
      {Duration.ofSeconds(5), "first", false, new LeaseResult.Granted(2)},
      {Duration.ofSeconds(500), "second", true, new LeaseResult.HeldByOther("first")}
    };
  }

  @Test(dataProvider = "leases")
  public void leasesEndUnlessRenewed(
      Duration elapsed, String holder, boolean frozen, LeaseResult expected) {
    faultInjection.setFaults(PlatformFaults.NONE.withLeasesFrozen(frozen));
    service.acquireLease("lease", "first", LEASE_DURATION).join();
    time.advance(elapsed);
    assertEquals(service.acquireLease("lease", holder, LEASE_DURATION).join(), expected);
  }

  @Test
  public void releasedLeaseIsFreeAtOnce() {
    service.acquireLease("lease", "first", LEASE_DURATION).join();
    service.releaseLease("lease", "first").join();
    assertEquals(
        service.acquireLease("lease", "second", LEASE_DURATION).join(), new LeaseResult.Granted(2));
  }

  /** Every operation of the service, with its name. */
  @DataProvider
  public Object[][] operations() {
    return new Object[][] {
      {"read", operation(platform -> platform.read("key"))},
      {"watch", operation(platform -> platform.watch("key", 0, WATCH_TIMEOUT))},
      {"compareAndSwap", operation(platform -> platform.compareAndSwap("key", 0, "value"))},
      {"delete", operation(platform -> platform.delete("key", 0))},
      {"acquireLease", operation(platform -> platform.acquireLease("lease", "me", LEASE_DURATION))},
      {"releaseLease", operation(platform -> platform.releaseLease("lease", "me"))},
      {"listInstances", operation(platform -> platform.listInstances())}
    };
  }

  private static Function<PlatformService, CompletableFuture<?>> operation(
      Function<PlatformService, CompletableFuture<?>> operation) {
    return operation;
  }

  @Test(dataProvider = "operations")
  public void anOutageFailsEachOperation(
      String name, Function<PlatformService, CompletableFuture<?>> operation) {
    faultInjection.setFaults(PlatformFaults.of(PlatformFaults.Outage.REFUSES));
    assertEquals(failure(operation.apply(service)), ErrorCode.PLATFORM_UNAVAILABLE, name);
  }

  @Test(dataProvider = "operations")
  public void slownessDelaysButDoesNotFail(
      String name, Function<PlatformService, CompletableFuture<?>> operation) {
    faultInjection.setFaults(PlatformFaults.NONE.withDelayMilliseconds(100));
    CompletableFuture<?> response = operation.apply(service);
    response.join();
    assertEquals(response.isCompletedExceptionally(), false, name);
  }

  @Test
  public void aLostAnswerLeavesTheWriteInEffect() {
    faultInjection.setFaults(PlatformFaults.NONE.withAnswersToLose(1));
    ErrorCode code = failure(service.compareAndSwap("key", 0, "value"));
    assertEquals(
        List.of(code, service.read("key").join()),
        List.of(lostAnswerCode(), Optional.of(new StoredValue(1, "value"))));
  }

  @Test
  public void theListMayLag() {
    faultInjection.setFaults(PlatformFaults.NONE.withListFrozen(true));
    setInstances(List.of(LISTED_INSTANCE));
    List<ListedInstance> lagging = service.listInstances().join();
    faultInjection.setFaults(PlatformFaults.NONE);
    assertEquals(
        List.of(lagging, service.listInstances().join()),
        List.of(List.of(), List.of(LISTED_INSTANCE)));
  }

  @Test
  public void readsMayBeStale() {
    service.compareAndSwap("key", 0, "first").join();
    faultInjection.setFaults(PlatformFaults.NONE.withStaleReads(true));
    service.compareAndSwap("key", 1, "second").join();
    assertEquals(service.read("key").join(), Optional.of(new StoredValue(1, "first")));
  }

  @Test
  public void callsAboveTheRateAreRefused() {
    long failed = 0;
    for (int count = 0; count < RATES.writesPerSecond() + 20; count++) {
      CompletableFuture<?> response = service.delete("absent", 0);
      failed += response.handle((result, failure) -> failure == null ? 0L : 1L).join();
    }
    time.advance(Duration.ofSeconds(1));
    assertEquals(
        List.of(failed, service.delete("absent", 0).join()),
        List.of(20L, new WriteResult.Written(0)));
  }

  static ErrorCode failure(CompletableFuture<?> response) {
    try {
      throw new AssertionError("answered " + response.join());
    } catch (CompletionException failure) {
      return ((WeirException) failure.getCause()).code();
    }
  }
}
