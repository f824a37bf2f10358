package org.corianderweir.logic.traffic;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.corianderweir.logic.admission.AdmissionRequest;
import org.corianderweir.logic.admission.AdmissionResult;
import org.corianderweir.logic.admission.Candidate;
import org.corianderweir.logic.admission.CapacityAdmission;
import org.corianderweir.logic.admission.WorkKind;

/**
 * Tells {@link CapacityAdmission} what this instance knows of requests and servers, and turns its
 * decisions into steps. Not thread-safe.
 */
final class CapacityGate {
  private final CapacityAdmission admission = new CapacityAdmission();
  private final RandomGenerator random;
  private boolean active;

  /** Creates a gate; instances with different names spread the return of callers differently. */
  CapacityGate(String instanceName) {
    random = new SplittableRandom(Hashing.hash(instanceName));
  }

  /** Decides about requests only while the configuration has routes for large requests. */
  void apply(FleetView view) {
    active = view.hasLargeRequests();
  }

  /**
   * The decision whether a request is sent to the chosen server, which is not recorded yet.
   *
   * @param pool the servers whose shortage is measured together with that of the server
   * @param candidate the server as it is known
   */
  record Ruling(
      String pool, AdmissionRequest description, Candidate candidate, AdmissionResult result) {
    /** Returns what to do instead of sending the request; empty to send it. */
    Optional<NextStep> hold() {
      return switch (result) {
        case AdmissionResult.Send unused -> Optional.empty();
        case AdmissionResult.WaitUntil wait ->
            Optional.of(new NextStep.Wait(wait.untilNanoseconds()));
        case AdmissionResult.Reject reject ->
            Optional.of(new NextStep.Reject(RejectionReason.NO_ROOM, reject.retryAfter()));
      };
    }
  }

  /** Returns the random source of the decisions that are recorded. */
  RandomGenerator random() {
    return random;
  }

  /**
   * Decides whether a request is sent to the chosen server. Changes nothing but the state of the
   * random source.
   *
   * @return empty if the gate does not decide about the request, so that it is sent
   */
  Optional<Ruling> rule(
      AdmittedRequest request,
      ServerChoice.Chosen chosen,
      RandomGenerator randomSource,
      long nowNanoseconds) {
    if (!active || request.mayHaveRun()) {
      return Optional.empty();
    }
    String pool = pool(chosen.server());
    AdmissionRequest description = describe(request, nowNanoseconds);
    Candidate candidate = candidate(request, chosen.server(), chosen.rank(), nowNanoseconds);
    AdmissionResult result =
        admission.explain(pool, description, candidate, randomSource, nowNanoseconds);
    return Optional.of(new Ruling(pool, description, candidate, result));
  }

  /** Records a decision at the request and as demand. */
  void record(AdmittedRequest request, Ruling ruling, long nowNanoseconds) {
    admission.record(ruling.pool(), ruling.description(), ruling.result(), nowNanoseconds);
    request.recordAssessment(ruling.result().assessment(), ruling.candidate());
  }

  /** Records what the outcome of a send says of the load and of the work. */
  void recordOutcome(
      AdmittedRequest request,
      ServerState server,
      SendOutcome outcome,
      long sentNanoseconds,
      long nowNanoseconds) {
    if (!active) {
      return;
    }
    if (outcome instanceof SendOutcome.NotRun notRun) {
      recordReport(server, notRun.report().load(), nowNanoseconds);
    } else if (outcome instanceof SendOutcome.Answered answer) {
      recordReport(server, answer.report().load(), nowNanoseconds);
      if (!answer.serverError()) {
        recordAnswer(request, server, nowNanoseconds - sentNanoseconds, nowNanoseconds);
      }
    }
  }

  /** Records the load that a server reported to this instance or to another one of the zone. */
  void recordReport(ServerState server, ServerLoad load, long nowNanoseconds) {
    if (active) {
      load.requests()
          .ifPresent(
              requests ->
                  admission.recordReport(
                      pool(server), requests, server.registration().slots(), nowNanoseconds));
    }
  }

  private void recordAnswer(
      AdmittedRequest request, ServerState server, long latencyNanoseconds, long nowNanoseconds) {
    Optional<Candidate> candidate = request.candidate();
    if (candidate.isPresent()) {
      admission.recordAnswer(
          pool(server),
          workKind(request, server, request.rank()),
          candidate.get(),
          request.route().targetLatency().toNanos(),
          latencyNanoseconds,
          nowNanoseconds);
    }
  }

  private Candidate candidate(
      AdmittedRequest request, ServerState server, int rank, long nowNanoseconds) {
    return new Candidate(
        server.load(nowNanoseconds),
        server.registration().slots(),
        server.speedRatio(nowNanoseconds),
        server.reportWeight(nowNanoseconds),
        admission.work(workKind(request, server, rank), nowNanoseconds));
  }

  private static AdmissionRequest describe(AdmittedRequest request, long nowNanoseconds) {
    long target = request.route().targetLatency().toNanos();
    return AdmissionRequest.builder()
        .organisation(request.organisationName())
        .priority(request.priority())
        .target(target, target - (nowNanoseconds - request.arrivedNanoseconds()))
        .deadlineLeft(request.deadlineNanoseconds() - nowNanoseconds)
        .unsent(request.sendCount() == 0)
        .mayWait(request.mayWait())
        .build();
  }

  /** Returns the name of the servers whose shortage is measured together. */
  private static String pool(ServerState server) {
    return server.registration().service() + '/' + server.region();
  }

  private static WorkKind workKind(AdmittedRequest request, ServerState server, int rank) {
    boolean sticky = request.route().sticky() && request.attributes().affinityKey().isPresent();
    return new WorkKind(request.route().name(), server.region(), sticky && rank == 0);
  }
}
