package org.corianderweir.bench.observer;

import java.util.List;

/**
 * The result of a check.
 *
 * @param promise what must hold
 * @param cases how many cases were looked at; zero means that the run says nothing about it
 * @param violations what broke the promise, the first few
 * @param violationCount how often it was broken
 */
public record Verdict(String promise, long cases, List<String> violations, long violationCount) {
  private static final int MAXIMUM_VIOLATIONS_SHOWN = 10;

  /** Copies the list. */
  public Verdict {
    violations = List.copyOf(violations);
  }

  /** Creates a verdict that shows the first few violations. */
  public static Verdict of(String promise, long cases, List<String> violations) {
    List<String> shown = violations.stream().limit(MAXIMUM_VIOLATIONS_SHOWN).toList();
    return new Verdict(promise, cases, shown, violations.size());
  }

  /** Returns whether the promise was kept in all cases seen. */
  public boolean kept() {
    return violationCount == 0;
  }
}
