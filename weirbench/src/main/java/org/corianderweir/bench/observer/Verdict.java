package org.corianderweir.bench.observer;

import java.util.List;

/**
 * The result of a check.
 *
 * @param promise the property that must hold
 * @param cases number of cases examined; zero means that the run can't show whether it holds
 * @param violations descriptions of the first few violations
 * @param violationCount number of all violations
 */
public record Verdict(String promise, long cases, List<String> violations, long violationCount) {
  private static final int MAXIMUM_VIOLATIONS_SHOWN = 10;

  /** Makes an immutable copy of the list. */
  public Verdict {
    violations = List.copyOf(violations);
  }

  /** Creates a verdict that counts all violations and describes the first few of them. */
  public static Verdict of(String promise, long cases, List<String> violations) {
    List<String> shown = violations.stream().limit(MAXIMUM_VIOLATIONS_SHOWN).toList();
    return new Verdict(promise, cases, shown, violations.size());
  }

  /** Returns whether the promise was kept in all cases examined. */
  public boolean kept() {
    return violationCount == 0;
  }
}
