package org.corianderweir.logic.steering;

import org.corianderweir.model.configuration.Selector;

/** The result of matching a request's path against the selectors. */
public sealed interface RouteMatch {
  /**
   * A selector matches the path.
   *
   * @param selector the selector with the longest matching prefix
   */
  record Found(Selector selector) implements RouteMatch {}

  /** No selector matches the path. */
  record NotFound() implements RouteMatch {}
}
