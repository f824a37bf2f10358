package org.corianderweir.bench.choice;

/** What is wrong with the servers or with what they report. */
enum ChoiceScenario {
  /** Nothing; reports come 1 to 3 s late. */
  HEALTHY,
  /** No reports come. */
  REPORTS_ABSENT,
  /** One server always reports that it is idle. */
  REPORTS_LIE,
  /** One server is four times slower for the first 5 s. */
  ONE_COLD,
  /** One server is ten times slower. */
  ONE_SLOW,
  /** One server fails every request at once. */
  ONE_FAILS_FAST
}
