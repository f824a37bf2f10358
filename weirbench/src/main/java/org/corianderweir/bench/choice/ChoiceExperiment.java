package org.corianderweir.bench.choice;

import java.io.PrintStream;

/**
 * Runs every strategy for choosing a backend server in every scenario and at every load and prints
 * a table.
 */
public final class ChoiceExperiment {
  private static final double[] LOAD_RATIOS = {0.50, 0.70, 0.85, 0.95};
  private static final int INSTANCE_COUNT = 6;
  private static final double DURATION_MILLISECONDS = 22_000;

  private final PrintStream output;

  /** The backend servers of one service in one region. */
  private record ServerGroup(String name, int count, int slots) {}

  /** Creates the experiment, which prints its table to the output. */
  public ChoiceExperiment(PrintStream output) {
    this.output = output;
  }

  /** Runs the experiment. Equal seeds give equal results. */
  public void run(long seed) {
    output.println("seed " + seed + "; times in ms; shed, refused, failed and messages per 1000");
    ServerGroup[] groups = {
      new ServerGroup("trade-desk", 4, 4), new ServerGroup("storefront", 7, 9)
    };
    for (ServerGroup group : groups) {
      for (ChoiceScenario scenario : ChoiceScenario.values()) {
        for (double load : LOAD_RATIOS) {
          for (ChoiceStrategy strategy : ChoiceStrategy.values()) {
            print(group, scenario, load, strategy, seed);
          }
        }
      }
    }
  }

  private void print(
      ServerGroup group,
      ChoiceScenario scenario,
      double loadRatio,
      ChoiceStrategy strategy,
      long seed) {
    ChoiceStatistics statistics =
        new ChoiceModel(
                strategy,
                scenario,
                group.count(),
                group.slots(),
                INSTANCE_COUNT,
                DURATION_MILLISECONDS,
                seed)
            .run(loadRatio);
    output.printf(
        "%-10s %-14s %2.0f%% %-18s p50 %6.1f p99 %7.1f p99.9 %7.1f shed %7.1f refused %6.1f"
            + " failed %6.1f messages %6.0f%n",
        group.name(),
        scenario,
        100 * loadRatio,
        strategy,
        statistics.percentile(50),
        statistics.percentile(99),
        statistics.percentile(99.9),
        statistics.perThousand(statistics.shed),
        statistics.perThousand(statistics.refused),
        statistics.perThousand(statistics.failed),
        statistics.perThousand(statistics.messages));
  }
}
