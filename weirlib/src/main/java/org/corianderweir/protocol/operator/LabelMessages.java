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
   * @param items the items that may have labels: regions, availability zones and backend servers
   */
  public record Labels(List<LabelledItem> items) {}

  /**
   * An item and its own labels.
   *
   * @param scope kind of the item
   * @param name name of the item
   * @param labels labels of the item itself, without the labels that it inherits
   */
  public record LabelledItem(LabelScope scope, String name, List<Label> labels) {}

  /**
   * Request to add a label or change its value.
   *
   * @param scope kind of the item
   * @param name name of the item
   * @param label name of the label
   * @param value value of the label
   */
  public record SetLabel(LabelScope scope, String name, String label, String value) {}

  /**
   * Request to remove a label.
   *
   * @param scope kind of the item
   * @param name name of the item
   * @param label name of the label
   */
  public record RemoveLabel(LabelScope scope, String name, String label) {}
}
