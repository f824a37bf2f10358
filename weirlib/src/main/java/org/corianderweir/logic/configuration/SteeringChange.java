package org.corianderweir.logic.configuration;

import org.corianderweir.model.configuration.Label;
import org.corianderweir.model.configuration.LabelScope;
import org.corianderweir.model.configuration.Selector;

/**
 * A change of selectors, shifts or labels. Changes of selectors and shifts have the wall time of
 * the change, in milliseconds since the epoch.
 */
public sealed interface SteeringChange extends ConfigurationChange {
  /**
   * Adds a selector or replaces the one with the same name.
   *
   * @param selector the selector; its shift is ignored and computed from the current shares
   * @param wallMilliseconds time at which the shift starts
   */
  record SetSelector(Selector selector, long wallMilliseconds) implements SteeringChange {}

  /**
   * Removes a selector. The change is refused if another selector would take over its traffic with
   * different shares.
   *
   * @param selector name of the selector
   * @param wallMilliseconds time at which it is removed
   */
  record RemoveSelector(String selector, long wallMilliseconds) implements SteeringChange {}

  /**
   * Pauses a shift at its current shares.
   *
   * @param selector name of the selector
   * @param wallMilliseconds time at which it is paused
   */
  record PauseShift(String selector, long wallMilliseconds) implements SteeringChange {}

  /**
   * Resumes a paused shift from its current shares.
   *
   * @param selector name of the selector
   * @param wallMilliseconds time at which it is resumed
   */
  record ResumeShift(String selector, long wallMilliseconds) implements SteeringChange {}

  /**
   * Shifts the traffic back to the destinations before the latest shift.
   *
   * @param selector name of the selector
   * @param wallMilliseconds time at which the shift back starts
   */
  record TurnBackShift(String selector, long wallMilliseconds) implements SteeringChange {}

  /**
   * Adds a label or changes its value.
   *
   * @param scope whether a backend server, an availability zone or a region gets the label
   * @param name name of the server, zone or region
   * @param label the label
   */
  record SetLabel(LabelScope scope, String name, Label label) implements SteeringChange {}

  /**
   * Removes a label.
   *
   * @param scope whether a backend server, an availability zone or a region has the label
   * @param name name of the server, zone or region
   * @param label name of the label
   */
  record RemoveLabel(LabelScope scope, String name, String label) implements SteeringChange {}
}
