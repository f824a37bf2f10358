package org.corianderweir.bench.choice;

/** The fault of a simulated server or of its load reports. */
enum ChoiceScenario {
  /** No fault. Load reports are 1 to 3 s old. */
  HEALTHY,
  /** No load reports arrive. */
  REPORTS_ABSENT,
  /** One server always reports that it is idle. */
  REPORTS_LIE,
  /** One server is four times slower for the first 5 s. */
  ONE_COLD,
  /** One server is ten times slower. */
  ONE_SLOW,
  /** One server answers every request immediately with a failure. */
  ONE_FAILS_FAST
}
