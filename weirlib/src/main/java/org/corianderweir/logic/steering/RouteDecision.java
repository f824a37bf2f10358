package org.corianderweir.logic.steering;

import org.corianderweir.model.configuration.Selector;

/** Which selector covers a request. */
public sealed interface RouteDecision {
  /**
   * A selector covers it.
   *
   * @param selector the one with the longest matching prefix
   */
  record Found(Selector selector) implements RouteDecision {}

  /** No selector covers it. */
  record NotFound() implements RouteDecision {}
}
