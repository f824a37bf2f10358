package org.corianderweir.http;

/**
 * The memory for the bodies of one direction. Small bodies have a budget of their own, so that
 * large ones can't keep them from being read.
 *
 * @param small budget for bodies up to {@link #SMALL_BODY_BYTES}
 * @param large budget for larger bodies
 */
public record BodyMemory(MemoryBudget small, MemoryBudget large) {
  /** The largest size of a small body, in bytes. */
  public static final int SMALL_BODY_BYTES = 64 * 1024;

  /** Creates budgets of the given sizes, in bytes. */
  public BodyMemory(long smallBytes, long largeBytes) {
    this(new MemoryBudget(smallBytes), new MemoryBudget(largeBytes));
  }

  /** Returns whether a body may have to wait for memory. */
  boolean isShort() {
    return small.isShort() || large.isShort();
  }

  /** Returns the budget for a body of a size. */
  MemoryBudget budgetFor(long bodyBytes) {
    return bodyBytes <= SMALL_BODY_BYTES ? small : large;
  }
}
