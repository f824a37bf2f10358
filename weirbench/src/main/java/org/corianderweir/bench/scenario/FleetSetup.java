package org.corianderweir.bench.scenario;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.bench.load.CallerKeys;
import org.corianderweir.bench.process.Fleet;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;

/** Configures a fleet that was just started, so that it serves all organisations. */
final class FleetSetup {
  private static final Duration CONDITION_TIMEOUT = Duration.ofSeconds(60);
  private static final long POLL_INTERVAL_MILLISECONDS = 50;

  private final Fleet fleet;
  private final Operators operators;

  FleetSetup(Fleet fleet, Operators operators) {
    this.fleet = fleet;
    this.operators = operators;
  }

  /** Returns the identifier of an organisation's key. */
  static String keyIdentifier(String organisation) {
    return "key-" + organisation;
  }

  /** Applies the first configuration, issues the keys and waits until both are in force. */
  void run(CallerKeys keys) {
    await("the platform answers", fleet::publishInstances);
    await("the first configuration is accepted", operators::applyInitialConfiguration);
    for (Deployment.OrganisationSpecification organisation :
        fleet.layout().deployment().organisations()) {
      String identifier = keyIdentifier(organisation.name());
      CallerKeys.CallerKey key =
          operators
              .issueKey(identifier, organisation.name())
              .orElseThrow(() -> failure("no key for " + organisation.name()));
      keys.set(organisation.name(), key);
    }
    long expected = fleet.client().revisionInForce(fleet.layout().entryInstances().getFirst());
    await(
        "revision " + expected + " is in force everywhere",
        () ->
            fleet.layout().entryInstances().stream()
                .allMatch(instance -> fleet.client().revisionInForce(instance) >= expected));
  }

  /** Waits for a condition. The timeout only serves to end a run that hangs. */
  static void await(String description, BooleanSupplier condition) {
    long deadlineNanoseconds = System.nanoTime() + CONDITION_TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanoseconds) {
        throw failure("it never came about that " + description);
      }
      try {
        Thread.sleep(POLL_INTERVAL_MILLISECONDS);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        throw failure("interrupted");
      }
    }
  }

  private static WeirException failure(String message) {
    return new WeirException(ErrorCode.CONNECT_FAILED, message);
  }
}
