package org.corianderweir.logic.configuration;

import org.corianderweir.model.configuration.Label;
import org.corianderweir.model.configuration.LabelScope;
import org.corianderweir.model.configuration.Selector;

/**
 * A change of what steers traffic. Those that move a selector's shares carry the wall time, in
 * milliseconds since the epoch, at which the shift starts.
 */
public sealed interface SteeringChange extends ConfigurationChange {
  /**
   * Adds a selector or replaces the one of that name.
   *
   * @param selector the selector; its shift is worked out, not taken over
   * @param wallMilliseconds when the shift starts
   */
  record SetSelector(Selector selector, long wallMilliseconds) implements SteeringChange {}

  /**
   * Removes a selector.
   *
   * @param selector name of the selector
   * @param wallMilliseconds when it is removed
   */
  record RemoveSelector(String selector, long wallMilliseconds) implements SteeringChange {}

  /**
   * Stops a shift where it is.
   *
   * @param selector name of the selector
   * @param wallMilliseconds when it stops
   */
  record PauseShift(String selector, long wallMilliseconds) implements SteeringChange {}

  /**
   * Lets a paused shift go on.
   *
   * @param selector name of the selector
   * @param wallMilliseconds when it goes on
   */
  record ResumeShift(String selector, long wallMilliseconds) implements SteeringChange {}

  /**
   * Shifts back to the destinations before the latest shift.
   *
   * @param selector name of the selector
   * @param wallMilliseconds when the way back starts
   */
  record TurnBackShift(String selector, long wallMilliseconds) implements SteeringChange {}

  /**
   * Attaches a label or changes its value.
   *
   * @param scope kind of the thing that gets the label
   * @param name name of the thing
   * @param label the label
   */
  record SetLabel(LabelScope scope, String name, Label label) implements SteeringChange {}

  /**
   * Takes a label away.
   *
   * @param scope kind of the thing that has the label
   * @param name name of the thing
   * @param label name of the label
   */
  record RemoveLabel(LabelScope scope, String name, String label) implements SteeringChange {}
}
