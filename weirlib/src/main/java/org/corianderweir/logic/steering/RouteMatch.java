package org.corianderweir.logic.steering;

import org.corianderweir.model.configuration.Selector;

/** Which selector covers a request. */
public sealed interface RouteMatch {
  /**
   * A selector covers it.
   *
   * @param selector the one with the longest matching prefix
   */
  record Found(Selector selector) implements RouteMatch {}

  /** No selector covers it. */
  record NotFound() implements RouteMatch {}
}
