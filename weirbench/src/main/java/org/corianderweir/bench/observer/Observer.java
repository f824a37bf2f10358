package org.corianderweir.bench.observer;

import java.util.List;

/** Applies all checks to the evidence of a run. */
public final class Observer {
  private static final List<Check> CHECKS =
      List.of(
          new ShiftCheck(),
          new RateCheck(),
          KeyChecks::backendServersSeeNoKeys,
          KeyChecks::requestsRunForOwnOrganisation,
          KeyChecks::keyedRoutesNeedKeys,
          KeyChecks::withdrawnKeysAreRejected,
          ExecutionChecks::runsAtMostOnce,
          ExecutionChecks::notRunRefusalsAreCorrect,
          ExecutionChecks::answersMatchRequests,
          ExecutionChecks::answersComeFromRuns,
          DrainAndStopChecks::drainedServersGetNoRequests,
          DrainAndStopChecks::plannedStopsFailNoRequest,
          ConfigurationChecks::neverReverts,
          ConfigurationChecks::isInForce,
          OverloadChecks::regionsNotOverloaded,
          OverloadChecks::linksNotOverloaded);

  private Observer() {}

  /** Returns the verdicts of all checks, always in the same order. */
  public static List<Verdict> judge(Evidence evidence) {
    return CHECKS.stream().map(check -> check.check(evidence)).toList();
  }
}
