package org.corianderweir.model.configuration;

import java.util.List;
import java.util.Optional;

/**
 * A condition that a backend server meets or not, by the name or a label of the server, its zone or
 * its region.
 *
 * @param scope scope of the name or label
 * @param label name of the label to compare; empty means that the name of the server, zone or
 *     region is compared
 * @param excluded whether the values are excluded instead of allowed; a server without the label
 *     meets the condition only if the values are excluded
 * @param values values that are allowed or excluded, at least one
 */
public record LabelCondition(
    LabelScope scope, Optional<String> label, boolean excluded, List<String> values) {
  /** Copies the list. */
  public LabelCondition {
    values = List.copyOf(values);
  }
}
