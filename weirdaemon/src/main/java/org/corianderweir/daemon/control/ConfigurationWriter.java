package org.corianderweir.daemon.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.corianderweir.daemon.control.ConfigurationStore.VersionedHead;
import org.corianderweir.logic.configuration.ConfigurationBundle;
import org.corianderweir.logic.configuration.ConfigurationChange;
import org.corianderweir.logic.configuration.ConfigurationDifference;
import org.corianderweir.logic.configuration.ConfigurationEditor;
import org.corianderweir.logic.configuration.ConfigurationProblem;
import org.corianderweir.logic.configuration.ConfigurationValidator;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.AcceptedChange;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.DocumentReference;
import org.corianderweir.model.configuration.PastRevision;
import org.corianderweir.model.platform.WriteResult;
import org.corianderweir.protocol.ConfigurationDocuments;

/**
 * Makes changes of the configuration: writes the documents first and then replaces the head by one
 * compare-and-swap. If the response to the compare-and-swap is lost, it is repeated, which can't
 * take effect twice; after a conflict the history tells whether the operation was accepted.
 */
final class ConfigurationWriter {
  private static final int HEAD_WRITE_ATTEMPTS = 3;

  private final ConfigurationStore store;
  private final ConfigurationGarbageCollector garbageCollector;
  private final Supplier<Optional<ConfigurationBundle>> inForce;

  ConfigurationWriter(ConfigurationStore store, Supplier<Optional<ConfigurationBundle>> inForce) {
    this.store = store;
    this.inForce = inForce;
    garbageCollector = new ConfigurationGarbageCollector(store);
  }

  /**
   * A change that an operator requests.
   *
   * @param expectedRevision revision that the change is based on
   * @param change what to change
   * @param operation identifier of the operation; a repeated operation is applied once
   * @param wallMilliseconds present wall time in milliseconds since the epoch
   */
  record Request(
      long expectedRevision, ConfigurationChange change, String operation, long wallMilliseconds) {}

  /**
   * An accepted change.
   *
   * @param revision revision that the change created
   * @param bundle current configuration, which may include later changes
   */
  record Accepted(long revision, ConfigurationBundle bundle) {}

  private record Base(VersionedHead head, Optional<ConfigurationBundle> bundle) {}

  private record Prepared(
      Base base, ConfigurationBundle next, Map<String, Long> obsoleteVersions) {}

  CompletableFuture<Accepted> change(Request request) {
    return store
        .readHead()
        .thenCompose(this::loadBase)
        .thenCompose(
            base ->
                findAccepted(base, request.operation())
                    .map(CompletableFuture::completedFuture)
                    .orElseGet(() -> writeChange(base, request)));
  }

  private CompletableFuture<Accepted> writeChange(Base base, Request request) {
    ConfigurationBundle next = buildNext(base, request);
    return writeDocuments(base, next)
        .thenCompose(unused -> prepare(base, next))
        .thenCompose(prepared -> writeHead(prepared, HEAD_WRITE_ATTEMPTS, false));
  }

  private CompletableFuture<Base> loadBase(VersionedHead head) {
    if (head.head().isEmpty()) {
      return CompletableFuture.completedFuture(new Base(head, Optional.empty()));
    }
    Optional<ConfigurationBundle> own = inForce.get();
    Map<String, String> texts = own.map(ConfigurationBundle::documentsByHash).orElse(Map.of());
    if (own.isPresent() && own.get().head().equals(head.head().get())) {
      return CompletableFuture.completedFuture(new Base(head, own));
    }
    return store
        .load(head.head().get(), hash -> Optional.ofNullable(texts.get(hash)))
        .thenApply(bundle -> new Base(head, Optional.of(bundle)));
  }

  private static Optional<Accepted> findAccepted(Base base, String operation) {
    return base.bundle()
        .flatMap(
            bundle ->
                bundle
                    .index()
                    .find(operation)
                    .map(change -> new Accepted(change.revision(), bundle)));
  }

  private static ConfigurationBundle buildNext(Base base, Request request) {
    Configuration current =
        base.bundle()
            .map(
                bundle ->
                    ConfigurationDocuments.assemble(
                        bundle.index(),
                        hash -> Optional.ofNullable(bundle.documentsByHash().get(hash))))
            .orElse(Configuration.EMPTY);
    Configuration changed =
        ConfigurationEditor.apply(current, request.change(), request.operation());
    String summary = ConfigurationDifference.between(current, changed).summary();
    if (current.revision() != request.expectedRevision()) {
      throw conflict(base, request.operation(), summary);
    }
    List<ConfigurationProblem> problems = ConfigurationValidator.validate(changed);
    if (!problems.isEmpty()) {
      throw new WeirException(
          ErrorCode.CONFIGURATION_INVALID,
          problems.stream().map(ConfigurationProblem::text).collect(Collectors.joining("\n")));
    }
    AcceptedChange change =
        new AcceptedChange(
            changed.revision(), request.operation(), summary, request.wallMilliseconds());
    List<PastRevision> history =
        base.bundle()
            .map(bundle -> bundle.index().nextHistory(bundle.head().indexHash()))
            .orElse(List.of());
    return ConfigurationDocuments.split(changed, change, history);
  }

  private CompletableFuture<Void> writeDocuments(Base base, ConfigurationBundle next) {
    Set<String> present = new HashSet<>();
    base.bundle()
        .ifPresent(
            bundle ->
                bundle.index().documents().stream()
                    .map(DocumentReference::hash)
                    .forEach(present::add));
    List<CompletableFuture<Long>> writes = new ArrayList<>();
    next.documentsByHash()
        .forEach(
            (hash, text) -> {
              if (!present.contains(hash)) {
                writes.add(store.putDocument(hash, text));
              }
            });
    writes.add(store.putDocument(next.head().indexHash(), next.indexText()));
    return CompletableFuture.allOf(writes.toArray(CompletableFuture[]::new));
  }

  private CompletableFuture<Prepared> prepare(Base base, ConfigurationBundle next) {
    CompletableFuture<Map<String, Long>> obsoleteVersions =
        base.bundle()
            .map(bundle -> garbageCollector.findObsoleteVersions(bundle.index(), next.index()))
            .orElse(CompletableFuture.completedFuture(Map.of()));
    return obsoleteVersions.thenApply(versions -> new Prepared(base, next, versions));
  }

  private CompletableFuture<Accepted> writeHead(
      Prepared prepared, int attempts, boolean mayHaveTakenEffect) {
    return store
        .writeHead(prepared.base().head().version(), prepared.next().head())
        .handle(
            (result, failure) ->
                result == null
                    ? retryOrFail(prepared, attempts, mayHaveTakenEffect, failure)
                    : conclude(prepared, result))
        .thenCompose(outcome -> outcome);
  }

  private CompletableFuture<Accepted> conclude(Prepared prepared, WriteResult result) {
    return switch (result) {
      case WriteResult.Written written -> {
        garbageCollector.delete(prepared.obsoleteVersions());
        yield CompletableFuture.completedFuture(
            new Accepted(prepared.next().head().revision(), prepared.next()));
      }
      case WriteResult.Conflict conflict -> resolveConflict(prepared);
    };
  }

  /**
   * Handles a head that differs from the expected one: either an earlier attempt of this change
   * took effect, or another change was accepted first.
   */
  private CompletableFuture<Accepted> resolveConflict(Prepared prepared) {
    String operation = prepared.next().head().operation();
    return store
        .readHead()
        .thenCompose(this::loadBase)
        .thenApply(
            base ->
                findAccepted(base, operation)
                    .orElseThrow(
                        () ->
                            conflict(base, operation, prepared.next().index().change().summary())));
  }

  private CompletableFuture<Accepted> retryOrFail(
      Prepared prepared,
      int attempts,
      boolean mayHaveTakenEffect,
      @org.jspecify.annotations.Nullable Throwable failure) {
    boolean outcomeUnknown = mayHaveTakenEffect || mayHaveTakenEffect(failure);
    if (!outcomeUnknown) {
      return CompletableFuture.failedFuture(cause(failure));
    }
    if (attempts > 1) {
      return writeHead(prepared, attempts - 1, true);
    }
    return CompletableFuture.failedFuture(
        new WeirException(
            ErrorCode.OUTCOME_UNKNOWN,
            "operation "
                + prepared.next().head().operation()
                + " may have been accepted; repeat it with the same operation identifier",
            failure));
  }

  private static boolean mayHaveTakenEffect(@org.jspecify.annotations.Nullable Throwable failure) {
    return !(cause(failure) instanceof WeirException typed
        && typed.code() == ErrorCode.PLATFORM_UNAVAILABLE);
  }

  private static Throwable cause(@org.jspecify.annotations.Nullable Throwable failure) {
    return failure == null
        ? new IllegalStateException("no response from the platform service")
        : WeirException.unwrap(failure);
  }

  /** Creates an error that names both changes, so that each operator sees what the other did. */
  private static WeirException conflict(Base base, String operation, String summary) {
    String currentChange =
        base.bundle()
            .map(bundle -> bundle.index().change())
            .map(
                change ->
                    "revision "
                        + change.revision()
                        + " by operation "
                        + change.operation()
                        + " ("
                        + change.summary()
                        + ")")
            .orElse("no configuration yet");
    return new WeirException(
        ErrorCode.REVISION_CONFLICT,
        "current is "
            + currentChange
            + "; refused is operation "
            + operation
            + " ("
            + summary
            + ")");
  }
}
