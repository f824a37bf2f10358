package org.corianderweir.logic.steering.explain;

import java.util.List;

/**
 * Explains to which backend servers a request would be sent and why.
 *
 * @param revision configuration revision that the explanation is based on
 * @param outcome one sentence with the result
 * @param stages stages of steering in order; the last one determines the outcome
 */
public record Explanation(long revision, String outcome, List<Stage> stages) {
  /** Copies the list. */
  public Explanation {
    stages = List.copyOf(stages);
  }

  /**
   * A stage of steering.
   *
   * @param name what the stage chooses
   * @param candidates everything that the stage considered
   */
  public record Stage(String name, List<Candidate> candidates) {
    /** Copies the list. */
    public Stage {
      candidates = List.copyOf(candidates);
    }

    /** Returns whether the stage keeps at least one candidate. */
    public boolean hasKeptCandidate() {
      return candidates.stream().anyMatch(Candidate::kept);
    }
  }

  /**
   * A selector, organisation, destination, cell or backend server that a stage considered.
   *
   * @param name name of the candidate
   * @param kept whether the stage keeps the candidate
   * @param reason why the candidate is kept or excluded
   */
  public record Candidate(String name, boolean kept, String reason) {}
}
