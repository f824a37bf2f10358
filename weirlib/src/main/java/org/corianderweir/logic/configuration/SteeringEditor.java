package org.corianderweir.logic.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.corianderweir.logic.steering.ShiftPlanner;
import org.corianderweir.logic.steering.ShiftSchedule;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Selector;

/** Applies changes of selectors, shifts and labels. Pure functions. */
public final class SteeringEditor {
  private SteeringEditor() {}

  static Configuration.Builder apply(Configuration current, SteeringChange change) {
    return switch (change) {
      case SteeringChange.SetSelector set ->
          withSelectors(current, withSelector(current, set.selector(), set.wallMilliseconds()));
      case SteeringChange.RemoveSelector remove ->
          withSelectors(current, withoutSelector(current, remove));
      case SteeringChange.PauseShift pause ->
          withChangedShift(
              current,
              pause.selector(),
              existing -> ShiftPlanner.pause(existing, pause.wallMilliseconds()));
      case SteeringChange.ResumeShift resume ->
          withChangedShift(
              current,
              resume.selector(),
              existing -> ShiftPlanner.resume(existing, resume.wallMilliseconds()));
      case SteeringChange.TurnBackShift turn ->
          withChangedShift(
              current,
              turn.selector(),
              existing -> ShiftPlanner.turnBack(existing, turn.wallMilliseconds()));
      case SteeringChange.SetLabel set ->
          LabelEditor.set(current, set.scope(), set.name(), set.label());
      case SteeringChange.RemoveLabel remove ->
          LabelEditor.remove(current, remove.scope(), remove.name(), remove.label());
    };
  }

  /**
   * Returns a replacement of the whole configuration in which the selectors have shifts from the
   * current shares where their shares change, so that no share changes abruptly.
   *
   * @param replacement new configuration; its shifts are ignored
   */
  public static Configuration planReplacement(
      Configuration current, Configuration replacement, long wallMilliseconds) {
    List<Selector> planned =
        replacement.selectors().stream()
            .map(requested -> withPlannedShift(current, requested, wallMilliseconds))
            .toList();
    return replacement.toBuilder().selectors(planned).build();
  }

  private static List<Selector> withSelector(
      Configuration current, Selector requested, long wallMilliseconds) {
    List<Selector> selectors = new ArrayList<>(current.selectors());
    selectors.removeIf(existing -> existing.name().equals(requested.name()));
    selectors.add(withPlannedShift(current, requested, wallMilliseconds));
    return selectors;
  }

  private static Selector withPlannedShift(
      Configuration current, Selector requested, long wallMilliseconds) {
    Optional<Selector> sameName = findSelector(current, requested.name());
    Optional<Selector> before =
        sameName.isPresent() ? sameName : ShiftPlanner.findCovering(current.selectors(), requested);
    return before
        .map(existing -> ShiftPlanner.planShift(existing, requested, wallMilliseconds))
        .orElseGet(() -> requested.toBuilder().shift(Optional.empty()).build());
  }

  private static List<Selector> withoutSelector(
      Configuration current, SteeringChange.RemoveSelector remove) {
    Selector removed = requireSelector(current, remove.selector());
    ShiftPlanner.findCovering(current.selectors(), removed)
        .filter(other -> sharesDiffer(other, removed, remove.wallMilliseconds()))
        .ifPresent(
            other -> {
              throw invalid(
                  "without selector "
                      + removed.name()
                      + " its traffic would jump to the destinations of "
                      + other.name()
                      + "; set the same destinations first and let the shift end");
            });
    return current.selectors().stream().filter(existing -> !existing.equals(removed)).toList();
  }

  private static boolean sharesDiffer(Selector left, Selector right, long wallMilliseconds) {
    return ShiftSchedule.distance(
            ShiftSchedule.sharesAt(left, wallMilliseconds),
            ShiftSchedule.sharesAt(right, wallMilliseconds))
        > 0;
  }

  private static Configuration.Builder withChangedShift(
      Configuration current, String name, UnaryOperator<Selector> change) {
    Selector existing = requireSelector(current, name);
    Selector changed = change.apply(existing);
    return withSelectors(
        current,
        current.selectors().stream()
            .map(selector -> selector.equals(existing) ? changed : selector)
            .toList());
  }

  private static Configuration.Builder withSelectors(
      Configuration current, List<Selector> selectors) {
    return current.toBuilder().selectors(selectors);
  }

  private static Selector requireSelector(Configuration current, String name) {
    return findSelector(current, name).orElseThrow(() -> invalid("no selector " + name));
  }

  private static Optional<Selector> findSelector(Configuration current, String name) {
    return current.selectors().stream()
        .filter(selector -> selector.name().equals(name))
        .findFirst();
  }

  private static WeirException invalid(String message) {
    return new WeirException(ErrorCode.CONFIGURATION_INVALID, message);
  }
}
