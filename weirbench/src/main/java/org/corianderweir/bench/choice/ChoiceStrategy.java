package org.corianderweir.bench.choice;

/** The strategies for choosing a backend server that the experiment compares. */
enum ChoiceStrategy {
  /** Chooses a random server. */
  RANDOM(false, false, false),
  /**
   * Power of two choices by the larger of the requests in flight from this entry instance and the
   * delayed load reports of the servers.
   */
  LOCAL_WITH_REPORTS(true, true, false),
  /**
   * Power of two choices by what this entry instance itself observed; the strategy of the daemon.
   */
  LOCAL(true, false, false),
  /**
   * Like {@link #LOCAL}, but a queued request tries servers again at random times (random local
   * search).
   */
  LOCAL_RESAMPLING(true, false, true),
  /** The servers' home entry instance lends a permit for each request. */
  PERMITS(false, false, false),
  /** Each request is forwarded through the servers' home entry instance. */
  FORWARDING(false, false, false);

  private final boolean usesSelection;
  private final boolean readsReports;
  private final boolean resamples;

  ChoiceStrategy(boolean usesSelection, boolean readsReports, boolean resamples) {
    this.usesSelection = usesSelection;
    this.readsReports = readsReports;
    this.resamples = resamples;
  }

  boolean usesSelection() {
    return usesSelection;
  }

  boolean readsReports() {
    return readsReports;
  }

  boolean resamples() {
    return resamples;
  }

  boolean usesHomeInstance() {
    return this == PERMITS || this == FORWARDING;
  }
}
