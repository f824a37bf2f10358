package org.corianderweir.bench.choice;

/** The ways to choose a backend server that are weighed. */
enum ChoiceStrategy {
  /** Any server, blindly. */
  RANDOM(false, false, false),
  /** Power of two choices on the requests in flight from here and on reports that lag. */
  LOCAL_WITH_REPORTS(true, true, false),
  /** The product's selection: power of two choices on what the entry instance itself saw. */
  LOCAL(true, false, false),
  /** The same; a waiting request asks another server at random moments (random local search). */
  LOCAL_RESAMPLING(true, false, true),
  /** Permits lent by one home entry instance of the servers, kept for one request. */
  PERMITS(false, false, false),
  /** The request itself goes through the home entry instance. */
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
