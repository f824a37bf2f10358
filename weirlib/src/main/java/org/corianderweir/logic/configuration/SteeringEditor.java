package org.corianderweir.logic.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.corianderweir.logic.steering.ShiftPath;
import org.corianderweir.logic.steering.ShiftPlanner;
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
          withSelectors(current, with(current, set.selector(), set.wallMilliseconds()));
      case SteeringChange.RemoveSelector remove -> withSelectors(current, without(current, remove));
      case SteeringChange.PauseShift pause ->
          shifted(
              current,
              pause.selector(),
              known -> ShiftPlanner.paused(known, pause.wallMilliseconds()));
      case SteeringChange.ResumeShift resume ->
          shifted(
              current,
              resume.selector(),
              known -> ShiftPlanner.resumed(known, resume.wallMilliseconds()));
      case SteeringChange.TurnBackShift turn ->
          shifted(
              current,
              turn.selector(),
              known -> ShiftPlanner.turnedBack(known, turn.wallMilliseconds()));
      case SteeringChange.SetLabel set ->
          LabelEditor.set(current, set.scope(), set.name(), set.label());
      case SteeringChange.RemoveLabel remove ->
          LabelEditor.remove(current, remove.scope(), remove.name(), remove.label());
    };
  }

  /**
   * Returns a replacement of the whole configuration whose selectors shift from where the traffic
   * is, instead of jumping.
   *
   * @param replacement new content; the shifts in it are ignored
   */
  public static Configuration replacement(
      Configuration current, Configuration replacement, long wallMilliseconds) {
    List<Selector> planned =
        replacement.selectors().stream()
            .map(wanted -> planned(current, wanted, wallMilliseconds))
            .toList();
    return replacement.toBuilder().selectors(planned).build();
  }

  private static List<Selector> with(Configuration current, Selector wanted, long wall) {
    List<Selector> selectors = new ArrayList<>(current.selectors());
    selectors.removeIf(known -> known.name().equals(wanted.name()));
    selectors.add(planned(current, wanted, wall));
    return selectors;
  }

  private static Selector planned(Configuration current, Selector wanted, long wall) {
    Optional<Selector> same = find(current, wanted.name());
    Optional<Selector> before =
        same.isPresent() ? same : ShiftPlanner.covering(current.selectors(), wanted);
    return before
        .map(known -> ShiftPlanner.changed(known, wanted, wall))
        .orElseGet(() -> wanted.toBuilder().shift(Optional.empty()).build());
  }

  private static List<Selector> without(
      Configuration current, SteeringChange.RemoveSelector remove) {
    Selector removed = required(current, remove.selector());
    ShiftPlanner.covering(current.selectors(), removed)
        .filter(other -> differs(other, removed, remove.wallMilliseconds()))
        .ifPresent(
            other -> {
              throw invalid(
                  "without selector "
                      + removed.name()
                      + " its traffic would jump to the destinations of "
                      + other.name()
                      + "; set the same destinations first and let the shift end");
            });
    return current.selectors().stream().filter(known -> !known.equals(removed)).toList();
  }

  private static boolean differs(Selector left, Selector right, long wall) {
    return ShiftPath.distance(ShiftPath.shares(left, wall), ShiftPath.shares(right, wall)) > 0;
  }

  private static Configuration.Builder shifted(
      Configuration current, String name, UnaryOperator<Selector> change) {
    Selector known = required(current, name);
    Selector changed = change.apply(known);
    return withSelectors(
        current,
        current.selectors().stream()
            .map(selector -> selector.equals(known) ? changed : selector)
            .toList());
  }

  private static Configuration.Builder withSelectors(
      Configuration current, List<Selector> selectors) {
    return current.toBuilder().selectors(selectors);
  }

  private static Selector required(Configuration current, String name) {
    return find(current, name).orElseThrow(() -> invalid("no selector " + name));
  }

  private static Optional<Selector> find(Configuration current, String name) {
    return current.selectors().stream()
        .filter(selector -> selector.name().equals(name))
        .findFirst();
  }

  private static WeirException invalid(String message) {
    return new WeirException(ErrorCode.CONFIGURATION_INVALID, message);
  }
}
