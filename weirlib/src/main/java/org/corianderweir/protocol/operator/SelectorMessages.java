package org.corianderweir.protocol.operator;

import java.util.List;

/** Messages about selectors. */
public final class SelectorMessages {
  private SelectorMessages() {}

  /**
   * A selector as text; docs/SELECTORS.md gives the grammar.
   *
   * @param text the text
   */
  public record SelectorText(String text) {}

  /**
   * Names a selector.
   *
   * @param selector name of the selector
   */
  public record SelectorName(String selector) {}

  /**
   * All selectors.
   *
   * @param selectors the selectors
   */
  public record Selectors(List<SelectorView> selectors) {}

  /**
   * A selector.
   *
   * @param name its name
   * @param text its text
   */
  public record SelectorView(String name, String text) {}
}
