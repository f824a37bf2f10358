package org.corianderweir.logic.traffic;

import java.util.Optional;

/**
 * The next step of a request with its grounds, which is not recorded yet.
 *
 * @param search the search of a server, if the step needed one
 * @param ruling the decision whether the servers have room, if there was one
 */
record StepEvaluation(
    NextStep step, Optional<ServerSearch.Result> search, Optional<CapacityGate.Ruling> ruling) {
  /** Returns a step that needed no server. */
  static StepEvaluation withoutSearch(NextStep step) {
    return new StepEvaluation(step, Optional.empty(), Optional.empty());
  }

  /** Returns the server that gets the request; empty if the step is not to send it. */
  Optional<ServerChoice.Chosen> sentTo() {
    return step instanceof NextStep.Send
        ? search.flatMap(ServerSearch.Result::chosen)
        : Optional.empty();
  }
}
