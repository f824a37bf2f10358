package org.corianderweir.protocol.operator;

import java.util.List;
import org.corianderweir.model.configuration.Label;
import org.corianderweir.model.configuration.LabelScope;

/** Messages about labels. */
public final class LabelMessages {
  private LabelMessages() {}

  /**
   * All labels.
   *
   * @param items things that may have labels
   */
  public record Labels(List<LabelledItem> items) {}

  /**
   * A thing and its own labels.
   *
   * @param scope kind of the thing
   * @param name name of the thing
   * @param labels its own labels, not those it inherits
   */
  public record LabelledItem(LabelScope scope, String name, List<Label> labels) {}

  /**
   * Attaches a label or changes its value.
   *
   * @param scope kind of the thing
   * @param name name of the thing
   * @param label name of the label
   * @param value value of the label
   */
  public record SetLabel(LabelScope scope, String name, String label, String value) {}

  /**
   * Takes a label away.
   *
   * @param scope kind of the thing
   * @param name name of the thing
   * @param label name of the label
   */
  public record RemoveLabel(LabelScope scope, String name, String label) {}
}
