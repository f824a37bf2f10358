package org.corianderweir.bench.limits;

import java.util.concurrent.TimeUnit;
import org.corianderweir.logic.limits.AdmissionGate;
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

/** Time and allocation of an admission decision, alone and with four threads on one limit. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class AdmissionBenchmark {
  private static final double RATE = 1e9;
  private static final int LOANS = 15;
  private AdmissionGate gate = new AdmissionGate(new SliceBucket(0), RATE);

  /** Makes a bucket with loans, so that decisions go the way they do under skewed demand. */
  @Setup
  public void setUp() {
    long now = System.nanoTime();
    SliceBucket bucket = new SliceBucket(now);
    bucket.setOwn(new Allowance(RATE, RATE), now);
    bucket.renewOwn(Long.MAX_VALUE, now);
    for (int loan = 0; loan < LOANS; loan++) {
      bucket.borrow(
          new LoanIdentifier("benchmark", 1, loan),
          new LendableSlice.Parcel(new Allowance(RATE, RATE), 0),
          now + LimitTiming.LOAN_LIFETIME.toNanos() * 100,
          now);
    }
    gate = new AdmissionGate(bucket, RATE);
  }

  /** One decision on one thread. */
  @Benchmark
  public boolean decide() {
    return gate.tryAdmit(System.nanoTime());
  }

  /** Decisions of four traffic threads on the same limit. */
  @Benchmark
  @Threads(4)
  public boolean decideContended() {
    return gate.tryAdmit(System.nanoTime());
  }
}
