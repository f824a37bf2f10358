package org.corianderweir.logic.steering;

import java.util.Comparator;
import java.util.List;
import org.corianderweir.model.configuration.Selector;

/** Finds the selector of a request: the one with the longest matching path prefix. Immutable. */
public final class RouteMatcher {
  private final List<Selector> longestPrefixFirst;

  /** Creates a matcher for the selectors in force. */
  public RouteMatcher(List<Selector> selectors) {
    longestPrefixFirst =
        selectors.stream()
            .sorted(
                Comparator.comparingInt((Selector selector) -> selector.pathPrefix().length())
                    .reversed()
                    .thenComparing(Selector::name))
            .toList();
  }

  /** Returns the selector with the longest prefix of a path, if there is one. */
  public RouteMatch match(String path) {
    for (Selector selector : longestPrefixFirst) {
      if (path.startsWith(selector.pathPrefix())) {
        return new RouteMatch.Found(selector);
      }
    }
    return new RouteMatch.NotFound();
  }
}
