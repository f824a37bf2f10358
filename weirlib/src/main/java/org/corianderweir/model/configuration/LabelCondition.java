package org.corianderweir.model.configuration;

import java.util.List;
import java.util.Optional;

/**
 * A condition on a backend server, by a name or by a label of its own, its zone or its region.
 *
 * @param scope where to look
 * @param label label to compare; absent means the name of the server, zone or region itself
 * @param excluded whether the listed values are excluded instead of allowed; an absent label is in
 *     no list
 * @param values values that are allowed or excluded, at least one
 */
public record LabelCondition(
    LabelScope scope, Optional<String> label, boolean excluded, List<String> values) {
  /** Copies the list. */
  public LabelCondition {
    values = List.copyOf(values);
  }
}
