package org.corianderweir.daemon.entry;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Optional;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.logic.admission.Assessment;
import org.corianderweir.logic.traffic.Admission;
import org.corianderweir.logic.traffic.AdmittedRequest;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.logic.traffic.NextStep;
import org.corianderweir.logic.traffic.RateLimitSnapshot;
import org.corianderweir.logic.traffic.RejectionReason;
import org.corianderweir.logic.traffic.RequestAttributes;
import org.corianderweir.logic.traffic.SendOutcome;
import org.corianderweir.logic.traffic.ServerCondition;
import org.corianderweir.logic.traffic.ServerState;
import org.corianderweir.logic.traffic.TrafficIndex;
import org.corianderweir.model.FailureDescription;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.traffic.CallerOrganisation;
import org.corianderweir.model.traffic.RequestKind;
import org.corianderweir.model.traffic.TrafficConfiguration;
import org.corianderweir.model.traffic.TrafficRoute;

/** Logs and counts each decision about a request, with the inputs of the decision. */
final class RequestLog {
  private static final int TEXT_LIMIT_CHARACTERS = 200;
  private static final char DELETE = 127;
  private static final int PERCENT = 100;

  private final EventLog events;
  private final MetricRegistry metrics;
  private volatile long revision;
  private long latestVersion = Long.MIN_VALUE;

  RequestLog(EventLog events, MetricRegistry metrics) {
    this.events = events;
    this.metrics = metrics;
  }

  void fleetChanged(FleetView view) {
    revision = view.revision();
    events.record(
        EventCode.FLEET_CHANGED,
        "fleet",
        "revision=%d version=%d servers=%d evacuated=%s members=%d"
            .formatted(
                view.revision(),
                view.index().map(index -> index.configuration().version()).orElse(0L),
                view.servers().size(),
                String.join(",", view.evacuatedZones()),
                view.members().size()));
    view.index().map(TrafficIndex::configuration).ifPresent(this::configurationInForce);
  }

  /** Logs the routes of a new configuration whose kind is unknown. */
  private void configurationInForce(TrafficConfiguration configuration) {
    if (configuration.version() == latestVersion) {
      return;
    }
    latestVersion = configuration.version();
    for (TrafficRoute route : configuration.routes()) {
      if (route.kind() instanceof RequestKind.Unknown unknown) {
        events.record(
            EventCode.ROUTE_KIND_UNKNOWN,
            sanitize(route.name()),
            "kind=\"%s\" version=%d counts-as=unsafe"
                .formatted(sanitize(unknown.word()), latestVersion));
      }
    }
  }

  void rejected(RequestAttributes attributes, Admission.Rejected rejected, int status) {
    count("requests.rejected." + rejected.reason());
    events.record(
        EventCode.REQUEST_REFUSED,
        sanitize(attributes.identifier()),
        "reason=%s status=%d host=%s path=%s revision=%d queued=%d wait=%d%s"
            .formatted(
                rejected.reason(),
                status,
                sanitize(attributes.host()),
                sanitize(attributes.path()),
                revision,
                attributes.queueTime().toMillis(),
                rejected.retryAfter().toMillis(),
                rejected.rateLimit().map(RequestLog::describe).orElse("")));
  }

  /** Counts how old the report was by which a server was chosen. */
  void chosen(ServerState server, long nowNanoseconds) {
    server
        .reportAge(nowNanoseconds)
        .ifPresentOrElse(
            age -> metrics.timer("reports.age").update(age), () -> count("reports.none"));
  }

  void sendEnded(
      AdmittedRequest request,
      ServerState server,
      SendOutcome outcome,
      long sentNanoseconds,
      long nowNanoseconds) {
    String name = outcome.getClass().getSimpleName();
    count("sends." + name);
    count("sends.class" + request.priority());
    events.record(
        EventCode.REQUEST_SENT,
        sanitize(request.attributes().identifier()),
        ("server=%s zone=%s outcome=%s send=%d rank=%d affinity=%s "
                + "load=%.1f slots=%d speed=%d report=%s body=%d bodies=%d failures=%.2f "
                + "queued=%d took=%d class=%d%s")
            .formatted(
                server.registration().identifier(),
                server.registration().zone(),
                outcome instanceof SendOutcome.Lost lost
                    ? name + " reason=\"" + lost.reason().replace('"', '\'') + '"'
                    : name,
                request.sendCount(),
                request.rank(),
                request.attributes().affinityKey().map(RequestLog::sanitize).orElse(""),
                server.load(nowNanoseconds),
                server.registration().slots(),
                Math.round(PERCENT * server.speedRatio(nowNanoseconds)),
                age(server.reportAge(nowNanoseconds)),
                request.bodyBytes(),
                server.bodyBytesInProgress(),
                server.failureRatio(nowNanoseconds),
                request.attributes().queueTime().toMillis(),
                milliseconds(nowNanoseconds - sentNanoseconds),
                request.priority(),
                request.assessment().map(RequestLog::describeSent).orElse("")));
  }

  private static String describeSent(Assessment assessment) {
    return " cause=%s expected=%d wait=%d"
        .formatted(
            assessment.cause(),
            milliseconds(assessment.expectedTime()),
            milliseconds(assessment.expectedWait()));
  }

  /** Logs that a request waits at this instance for room at the servers. */
  void held(AdmittedRequest request, long untilNanoseconds, long nowNanoseconds) {
    recordRoom(request, "held", untilNanoseconds - nowNanoseconds, nowNanoseconds);
  }

  /** Logs why a request is rejected for which servers have no room. */
  void rejectedWhileForwarding(
      AdmittedRequest request, NextStep.Reject rejection, long nowNanoseconds) {
    if (rejection.reason() == RejectionReason.NO_ROOM) {
      count("requests.rejected." + rejection.reason());
      recordRoom(request, "rejected", rejection.retryAfter().toNanos(), nowNanoseconds);
    }
  }

  private void recordRoom(
      AdmittedRequest request, String decision, long waitNanoseconds, long nowNanoseconds) {
    count("requests.room." + decision + ".class" + request.priority());
    events.record(
        EventCode.REQUEST_WITHOUT_ROOM,
        sanitize(request.attributes().identifier()),
        "decision=%s for=%d class=%d service=%s organisation=%s left=%d %s"
            .formatted(
                decision,
                milliseconds(waitNanoseconds),
                request.priority(),
                request.service(),
                request.organisationName(),
                milliseconds(request.deadlineNanoseconds() - nowNanoseconds),
                request.assessment().map(RequestLog::describeAssessment).orElse("")));
  }

  private static String describeAssessment(Assessment assessment) {
    return "cause=%s expected=%d wait=%d allowed=%d free=%.1f report=%.2f late=%.2f pool-wait=%d"
        .formatted(
            assessment.cause(),
            milliseconds(assessment.expectedTime()),
            milliseconds(assessment.expectedWait()),
            milliseconds(assessment.allowedWait()),
            assessment.freeSlots(),
            assessment.reportWeight(),
            assessment.lateShare(),
            milliseconds(assessment.reportedWait()));
  }

  /** Logs what an answer, or its lack, has changed in what is believed of a server. */
  void serverAnswered(
      AdmittedRequest request,
      ServerState server,
      ServerCondition before,
      ServerCondition after,
      long nowNanoseconds) {
    if (before.label().equals(after.label())) {
      return;
    }
    count("servers.became." + after.label());
    events.record(
        EventCode.SERVER_CONDITION_CHANGED,
        server.registration().identifier(),
        "from=%s to=%s source=answer request=%s for=%d"
            .formatted(
                before.label(),
                after.label(),
                sanitize(request.attributes().identifier()),
                after instanceof ServerCondition.Pausing pausing
                    ? milliseconds(pausing.untilNanoseconds() - nowNanoseconds)
                    : 0));
  }

  void answered(AdmittedRequest request, int status, long nowNanoseconds) {
    long latencyNanoseconds = nowNanoseconds - request.arrivedNanoseconds();
    count("requests.status." + status);
    metrics.timer("requests.time").update(Duration.ofNanos(latencyNanoseconds));
    events.record(
        EventCode.REQUEST_ANSWERED,
        sanitize(request.attributes().identifier()),
        ("status=%d may-have-run=%s sends=%d route=%s service=%s organisation=%s"
                + " version=%d revision=%d queued=%d took=%d left=%d")
            .formatted(
                status,
                request.mayHaveRun(),
                request.sendCount(),
                request.route().name(),
                request.service(),
                request.organisation().map(CallerOrganisation::name).orElse(""),
                request.configurationVersion(),
                revision,
                request.attributes().queueTime().toMillis(),
                milliseconds(latencyNanoseconds),
                milliseconds(request.deadlineNanoseconds() - nowNanoseconds)));
  }

  /** Logs an error in the handling of a request that should not occur. */
  void failedUnexpectedly(AdmittedRequest request, RuntimeException failure) {
    count("requests.failed.unexpectedly");
    events.record(
        EventCode.REQUEST_FAILED,
        sanitize(request.attributes().identifier()),
        "may-have-run=%s sends=%d %s"
            .formatted(request.mayHaveRun(), request.sendCount(), FailureDescription.of(failure)));
  }

  /** Logs a request that is dropped before admission, because its caller has already left. */
  void abandonedBeforeAdmission(RequestAttributes attributes) {
    abandoned(attributes, 0, false, 0);
  }

  void abandoned(AdmittedRequest request, long nowNanoseconds) {
    abandoned(
        request.attributes(),
        request.sendCount(),
        request.mayHaveRun(),
        milliseconds(nowNanoseconds - request.arrivedNanoseconds()));
  }

  private void abandoned(
      RequestAttributes attributes, int sends, boolean mayHaveRun, long tookMilliseconds) {
    count("requests.abandoned");
    if (!mayHaveRun) {
      count("requests.abandoned.unsent");
    }
    events.record(
        EventCode.CALLER_LEFT,
        sanitize(attributes.identifier()),
        "may-have-run=%s sends=%d queued=%d took=%d"
            .formatted(mayHaveRun, sends, attributes.queueTime().toMillis(), tookMilliseconds));
  }

  private void count(String name) {
    metrics.counter(name).inc();
  }

  private static String describe(RateLimitSnapshot snapshot) {
    return " organisation=%s limit=%.1f asked=%.1f instances=%d part=%.3f digest=%s"
        .formatted(
            snapshot.organisation(),
            snapshot.limitPerSecond(),
            snapshot.demandPerSecond(),
            snapshot.instances(),
            snapshot.share(),
            age(snapshot.digestAge()));
  }

  private static String age(Optional<Duration> age) {
    return age.map(known -> Long.toString(known.toMillis())).orElse("none");
  }

  private static long milliseconds(long nanoseconds) {
    return Duration.ofNanos(nanoseconds).toMillis();
  }

  /**
   * Truncates a text of a caller and replaces characters by which it could forge a log line or
   * field.
   */
  private static String sanitize(String text) {
    StringBuilder safe = new StringBuilder();
    for (int index = 0; index < Math.min(text.length(), TEXT_LIMIT_CHARACTERS); index++) {
      char character = text.charAt(index);
      safe.append(character > ' ' && character < DELETE && character != '"' ? character : '?');
    }
    return safe.toString();
  }
}
