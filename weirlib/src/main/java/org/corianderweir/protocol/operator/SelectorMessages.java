package org.corianderweir.protocol.operator;

import java.util.List;

/** Messages about selectors. */
public final class SelectorMessages {
  private SelectorMessages() {}

  /**
   * Request with a selector in its text form. The grammar is in docs/SELECTORS.md.
   *
   * @param text text form of the selector
   */
  public record SelectorText(String text) {}

  /**
   * Request that identifies a selector.
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
   * A selector in its text form.
   *
   * @param name name of the selector
   * @param text text form of the selector
   */
  public record SelectorView(String name, String text) {}
}
