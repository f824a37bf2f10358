package org.corianderweir.bench.limits;

import java.io.PrintStream;
import java.util.List;
import java.util.SplittableRandom;
import org.corianderweir.logic.limits.Allowance;

/**
 * Compares slices with loans, fixed slices, and a single owner of each organisation, under the same
 * arrivals. Wrongful are the requests that one token bucket for the whole fleet would have admitted
 * beyond those that were admitted; in a cut, each side has its share of the limit.
 */
public final class LimitsExperiment {
  private static final List<Allowance> LIMITS =
      List.of(new Allowance(1_000, 200), new Allowance(100, 50), new Allowance(20, 20));
  private static final double PERCENT = 100;
  private static final double MOST_WAIT_PERCENTILE = 99;

  private final long seed;
  private final PrintStream out;

  /** Creates the experiment; equal seeds give equal results. */
  public LimitsExperiment(long seed, PrintStream out) {
    this.seed = seed;
    this.out = out;
  }

  /** Runs all patterns and prints a table. Returns zero if nobody admitted too much. */
  public int run() {
    out.printf("seed %d; deadline 2 s; 18 instances; simulated time, 48 s measured%n", seed);
    boolean excess = false;
    for (Deployment deployment : Deployment.values()) {
      for (Allowance limit : LIMITS) {
        out.printf("%n%s, rate %.0f/s, burst %.0f%n", deployment, limit.rate(), limit.capacity());
        out.printf(
            "%-30s %-8s %8s %9s %10s %9s %9s %9s%n",
            "pattern", "way", "refused%", "wrongful%", "mean ms", "p99 ms", "excess", "B/s/inst");
        for (Pattern pattern : Pattern.values()) {
          excess |= compare(deployment, pattern, limit);
        }
      }
    }
    return excess ? 1 : 0;
  }

  private boolean compare(Deployment deployment, Pattern pattern, Allowance limit) {
    Experiment ideal = Experiment.of(deployment, pattern, limit);
    Tally best = ideal.run(new IdealAdmitter(ideal), arrivals());
    Experiment loans = Experiment.of(deployment, pattern, limit);
    LoanAdmitter loanAdmitter = new LoanAdmitter(loans, new SplittableRandom(seed + 1));
    Tally loanTally = loans.run(loanAdmitter, arrivals());
    double seconds = (double) (Experiment.DURATION + Experiment.DEADLINE) / SimulatedTime.SECOND;
    double bytes = loanAdmitter.bytes() / seconds / Deployment.INSTANCES;
    print(pattern, "loans", loanTally, best, bytes);
    Experiment fixed = Experiment.of(deployment, pattern, limit);
    print(pattern, "fixed", fixed.run(new FixedAdmitter(fixed), arrivals()), best, 0);
    Experiment owner = Experiment.of(deployment, pattern, limit);
    print(pattern, "owner", owner.run(new OwnerAdmitter(owner), arrivals()), best, 0);
    return loanTally.excess() > 1e-3;
  }

  private SplittableRandom arrivals() {
    return new SplittableRandom(seed);
  }

  private void print(Pattern pattern, String way, Tally tally, Tally best, double bytes) {
    double offered = tally.admitted() + tally.refused();
    double wrongful = Math.max(0, best.admitted() - tally.admitted()) / offered * PERCENT;
    out.printf(
        "%-30s %-8s %8.3f %9.3f %10.2f %9.1f %9.3f %9.0f%n",
        pattern.title(),
        way,
        tally.refused() / offered * PERCENT,
        wrongful,
        tally.meanWaitMilliseconds(),
        tally.waitMilliseconds(MOST_WAIT_PERCENTILE),
        tally.excess(),
        bytes);
  }
}
