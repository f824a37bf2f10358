package org.corianderweir.bench.limits;

import java.util.concurrent.TimeUnit;
import org.corianderweir.logic.limits.AdmissionController;
import org.corianderweir.logic.limits.Allowance;
import org.corianderweir.logic.limits.LendableSlice;
import org.corianderweir.logic.limits.LimitTiming;
import org.corianderweir.logic.limits.LoanIdentifier;
import org.corianderweir.logic.limits.SliceBucket;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Threads;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time and allocation of an admission decision on one limit, with one thread and with
 * four threads.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class AdmissionBenchmark {
  private static final double RATE_PER_SECOND = 1e9;
  private static final int LOAN_COUNT = 15;
  private AdmissionController controller =
      new AdmissionController(new SliceBucket(0), RATE_PER_SECOND);

  /** Creates a bucket with loans, so that decisions take the code path of skewed demand. */
  @Setup
  public void setUp() {
    long now = System.nanoTime();
    SliceBucket bucket = new SliceBucket(now);
    bucket.setOwnAllowance(new Allowance(RATE_PER_SECOND, RATE_PER_SECOND), now);
    bucket.renewOwnAllowance(Long.MAX_VALUE, now);
    for (int loan = 0; loan < LOAN_COUNT; loan++) {
      bucket.borrow(
          new LoanIdentifier("benchmark", 1, loan),
          new LendableSlice.LoanAmount(new Allowance(RATE_PER_SECOND, RATE_PER_SECOND), 0),
          now + LimitTiming.LOAN_LIFETIME.toNanos() * 100,
          now);
    }
    controller = new AdmissionController(bucket, RATE_PER_SECOND);
  }

  /** Measures one decision on one thread. */
  @Benchmark
  public boolean decide() {
    return controller.tryAdmit(System.nanoTime());
  }

  /** Measures decisions of four traffic threads on the same limit. */
  @Benchmark
  @Threads(4)
  public boolean decideContended() {
    return controller.tryAdmit(System.nanoTime());
  }
}
