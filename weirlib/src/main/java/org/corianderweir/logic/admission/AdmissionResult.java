package org.corianderweir.logic.admission;

import java.time.Duration;

/** What to do with a request, and why. */
public sealed interface AdmissionResult {
  /** Returns the grounds of the decision. */
  Assessment assessment();

  /** Send the request now. */
  record Send(Assessment assessment) implements AdmissionResult {}

  /** Hold the request and ask again at the given time, or earlier if a server frees up. */
  record WaitUntil(long untilNanoseconds, Assessment assessment) implements AdmissionResult {}

  /** Reject the request; the caller may return after the given time. */
  record Reject(Duration retryAfter, Assessment assessment) implements AdmissionResult {}
}
