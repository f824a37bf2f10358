package org.corianderweir.logic.steering.explain;

import java.util.List;

/**
 * Why a request would go where.
 *
 * @param revision configuration revision that it is explained by
 * @param outcome one sentence with the result
 * @param stages the stages in order; the last one is where the request stays or ends
 */
public record Explanation(long revision, String outcome, List<Stage> stages) {
  /** Copies the list. */
  public Explanation {
    stages = List.copyOf(stages);
  }

  /**
   * A stage of steering.
   *
   * @param name what is chosen
   * @param candidates everything that was considered
   */
  public record Stage(String name, List<Candidate> candidates) {
    /** Copies the list. */
    public Stage {
      candidates = List.copyOf(candidates);
    }

    /** Returns whether a candidate is left. */
    public boolean hasKeptCandidate() {
      return candidates.stream().anyMatch(Candidate::kept);
    }
  }

  /**
   * Something that was considered.
   *
   * @param name its name
   * @param kept whether it stays in
   * @param reason why it stays in or fell out
   */
  public record Candidate(String name, boolean kept, String reason) {}
}
