package org.corianderweir.bench.choice;

import java.io.PrintStream;

/** Runs every way in every scenario and load and prints a table. */
public final class ChoiceExperiment {
  private static final double[] LOADS = {0.50, 0.70, 0.85, 0.95};
  private static final int ENTRIES = 6;
  private static final double LENGTH_MILLISECONDS = 22_000;

  private final PrintStream output;

  /** The servers that a region has of a service. */
  private record Servers(String name, int count, int slots) {}

  /** Creates the experiment. */
  public ChoiceExperiment(PrintStream output) {
    this.output = output;
  }

  /** Runs the experiment. */
  public void run(long seed) {
    output.println("seed " + seed + "; times in ms; shed, refused, failed and messages per 1000");
    Servers[] kinds = {new Servers("trade-desk", 4, 4), new Servers("storefront", 7, 9)};
    for (Servers kind : kinds) {
      for (ChoiceScenario scenario : ChoiceScenario.values()) {
        for (double load : LOADS) {
          for (ChoiceWay way : ChoiceWay.values()) {
            print(kind, scenario, load, way, seed);
          }
        }
      }
    }
  }

  private void print(Servers kind, ChoiceScenario scenario, double load, ChoiceWay way, long seed) {
    ChoiceFigures figures =
        new ChoiceModel(
                way, scenario, kind.count(), kind.slots(), ENTRIES, LENGTH_MILLISECONDS, seed)
            .run(load);
    output.printf(
        "%-10s %-14s %2.0f%% %-18s p50 %6.1f p99 %7.1f p99.9 %7.1f shed %7.1f refused %6.1f"
            + " failed %6.1f messages %6.0f%n",
        kind.name(),
        scenario,
        100 * load,
        way,
        figures.percentile(50),
        figures.percentile(99),
        figures.percentile(99.9),
        figures.perThousand(figures.shed),
        figures.perThousand(figures.refused),
        figures.perThousand(figures.failed),
        figures.perThousand(figures.messages));
  }
}
