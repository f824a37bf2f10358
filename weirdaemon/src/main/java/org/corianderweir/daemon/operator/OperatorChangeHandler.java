package org.corianderweir.daemon.operator;

import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.corianderweir.daemon.control.ConfigurationService;
import org.corianderweir.logic.configuration.ConfigurationChange;
import org.corianderweir.logic.configuration.ConfigurationEditor;
import org.corianderweir.logic.configuration.ConfigurationProblem;
import org.corianderweir.logic.configuration.ConfigurationValidator;
import org.corianderweir.logic.steering.explain.DryRun;
import org.corianderweir.logic.steering.explain.DryRunReport;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.AcceptedChange;
import org.corianderweir.model.configuration.Configuration;

/** Applies the changes of operators, or reports in a dry run what they would do. */
final class OperatorChangeHandler {
  private static final String DRY_RUN_OPERATION = "dry-run";

  private final OperatorContext context;
  private final ConfigurationService configuration;

  OperatorChangeHandler(OperatorContext context) {
    this.context = context;
    this.configuration = context.configuration();
  }

  /**
   * Creates the change that a request asks for, based on the configuration in force.
   *
   * @param <Q> type of the request
   */
  interface ChangeFactory<Q extends Record> {
    ConfigurationChange create(
        Q request, Configuration current, long wallMilliseconds, WriteOptions options);
  }

  /**
   * Creates the change that a request asks for. A replacement is planned from the configuration in
   * force here, so it fails with {@code REVISION_CONFLICT} if it is based on another revision.
   */
  <Q extends Record> ConfigurationChange createChange(
      ChangeFactory<Q> factory, Q request, WriteOptions options) {
    Configuration current = configuration.inForce();
    ConfigurationChange change =
        factory.create(request, current, context.time().wallMilliseconds(), options);
    long expected = options.expectedRevision().orElse(current.revision());
    if (change instanceof ConfigurationChange.Replace && expected != current.revision()) {
      throw new WeirException(
          ErrorCode.REVISION_CONFLICT,
          "the change is based on revision %d; revision %d by %s is in force here"
              .formatted(expected, current.revision(), current.operation()));
    }
    return change;
  }

  /** Returns the revision that an earlier request with the same operation identifier created. */
  Optional<Long> findAcceptedRevision(WriteOptions options) {
    return configuration.history().stream()
        .filter(change -> options.operation().filter(change.operation()::equals).isPresent())
        .map(AcceptedChange::revision)
        .findFirst();
  }

  CompletableFuture<Long> apply(ConfigurationChange change, WriteOptions options) {
    long expected = options.expectedRevision().orElse(configuration.inForce().revision());
    return configuration.change(
        expected, change, options.operation().orElseGet(this::generateOperationIdentifier));
  }

  private String generateOperationIdentifier() {
    return context.settings().instance().name() + "/" + UUID.randomUUID();
  }

  DryRunReport dryRun(ConfigurationChange change) {
    Configuration current = configuration.inForce();
    Configuration changed = ConfigurationEditor.apply(current, change, DRY_RUN_OPERATION);
    List<ConfigurationProblem> problems = ConfigurationValidator.validate(changed);
    if (!problems.isEmpty()) {
      throw new WeirException(
          ErrorCode.CONFIGURATION_INVALID,
          problems.stream().map(ConfigurationProblem::text).collect(Collectors.joining("; ")));
    }
    return DryRun.report(
        current, changed, context.steering().serverView(), context.time().wallMilliseconds());
  }
}
