package org.corianderweir.ctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.corianderweir.ctl.CommandException;
import org.corianderweir.ctl.ExitStatus;
import org.corianderweir.logic.traffic.ExplanationComparison;
import org.corianderweir.logic.traffic.RequestExplanation;
import org.corianderweir.protocol.operator.FleetListing;

/**
 * What the entry instances of a fleet would do with a request.
 *
 * @param listedBy name of the instance that listed the others
 * @param listRevision revision that its list is based on
 * @param explanations the explanations, ordered by instance
 * @param differences aspects in which they differ
 * @param problems instances without an explanation
 */
public record FleetExplanation(
    String listedBy,
    long listRevision,
    List<RequestExplanation> explanations,
    List<ExplanationComparison.Difference> differences,
    List<Problem> problems) {
  /** Copies the lists. */
  public FleetExplanation {
    explanations = List.copyOf(explanations);
    differences = List.copyOf(differences);
    problems = List.copyOf(problems);
  }

  /** Why there is no explanation of an instance. */
  public enum Cause {
    /** The instance does not answer. */
    NO_ANSWER,
    /** Its answer is not an explanation. */
    UNUSABLE,
    /** It says that the request is not well-formed. */
    BAD_INPUT
  }

  /**
   * An instance without an explanation.
   *
   * @param instance its name
   * @param address its address as {@code host:port}
   * @param message what happened
   */
  public record Problem(String instance, String address, Cause cause, String message) {}

  /**
   * Compares the answers of the listed instances.
   *
   * @param answers one for each instance, in the order of the list
   */
  static FleetExplanation of(FleetListing listing, List<ExplainAnswer> answers) {
    List<RequestExplanation> explanations = new ArrayList<>();
    List<Problem> problems = new ArrayList<>();
    for (int index = 0; index < answers.size(); index++) {
      FleetListing.Entry entry = listing.instances().get(index);
      switch (answers.get(index)) {
        case ExplainAnswer.Explained explained -> explanations.add(explained.explanation());
        case ExplainAnswer.None none ->
            problems.add(problem(entry, Cause.NO_ANSWER, none.message()));
        case ExplainAnswer.Unusable unusable ->
            problems.add(problem(entry, Cause.UNUSABLE, unusable.message()));
        case ExplainAnswer.BadInput badInput ->
            problems.add(problem(entry, Cause.BAD_INPUT, badInput.message()));
      }
    }
    return new FleetExplanation(
        listing.instance(),
        listing.revision(),
        explanations,
        ExplanationComparison.differences(explanations),
        problems);
  }

  private static Problem problem(FleetListing.Entry entry, Cause cause, String message) {
    return new Problem(entry.name(), entry.host() + ":" + entry.port(), cause, message);
  }

  /**
   * Returns what is wrong with the request if all instances that answer refuse it. If only some do,
   * the instances differ, for example as one does not know a region yet.
   */
  Optional<String> badInput() {
    return explanations.isEmpty()
        ? problems.stream()
            .filter(problem -> problem.cause() == Cause.BAD_INPUT)
            .map(Problem::message)
            .findFirst()
        : Optional.empty();
  }

  /** Returns the failure to report if an instance did not explain the request. */
  Optional<CommandException> failure() {
    if (problems.isEmpty()) {
      return Optional.empty();
    }
    List<Problem> silent =
        problems.stream().filter(problem -> problem.cause() == Cause.NO_ANSWER).toList();
    return Optional.of(
        silent.isEmpty()
            ? exception(problems, ExitStatus.FAILED, "answer-unusable", "no explanation of ")
            : exception(silent, ExitStatus.UNREACHABLE, "unreachable", "no answer of "));
  }

  private static CommandException exception(
      List<Problem> problems, ExitStatus status, String code, String message) {
    String instances =
        problems.stream()
            .map(problem -> problem.instance() + " at " + problem.address())
            .collect(Collectors.joining(", "));
    return new CommandException(
        status, code, message + instances, "ask these instances with --at, or look at their logs");
  }
}
