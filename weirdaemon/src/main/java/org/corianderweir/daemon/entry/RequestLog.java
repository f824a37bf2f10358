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
    LogFields fields =
        new LogFields()
            .add("reason", rejected.reason().toString())
            .add("status", status)
            .add("host", sanitize(attributes.host()))
            .add("path", sanitize(attributes.path()))
            .add("revision", revision)
            .add("queued", attributes.queueTime().toMillis())
            .add("wait", rejected.retryAfter().toMillis());
    rejected.rateLimit().ifPresent(snapshot -> addTo(fields, snapshot));
    events.record(EventCode.REQUEST_REFUSED, sanitize(attributes.identifier()), fields.toString());
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
    LogFields fields =
        new LogFields()
            .add("server", server.registration().identifier())
            .add("zone", server.registration().zone())
            .add("outcome", name);
    if (outcome instanceof SendOutcome.Lost lost) {
      fields.add("reason", '"' + lost.reason().replace('"', '\'') + '"');
    }
    fields
        .add("send", request.sendCount())
        .add("rank", request.rank())
        .add("affinity", request.attributes().affinityKey().map(RequestLog::sanitize).orElse(""))
        .add("load", server.load(nowNanoseconds), 1)
        .add("slots", server.registration().slots())
        .add("speed", Math.round(PERCENT * server.speedRatio(nowNanoseconds)))
        .add("report", age(server.reportAge(nowNanoseconds)))
        .add("body", request.bodyBytes())
        .add("bodies", server.bodyBytesInProgress())
        .add("failures", server.failureRatio(nowNanoseconds), 2)
        .add("queued", request.attributes().queueTime().toMillis())
        .add("took", milliseconds(nowNanoseconds - sentNanoseconds))
        .add("class", request.priority());
    request.assessment().ifPresent(assessment -> addTo(fields, assessment));
    events.record(
        EventCode.REQUEST_SENT, sanitize(request.attributes().identifier()), fields.toString());
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
    LogFields fields =
        new LogFields()
            .add("decision", decision)
            .add("for", milliseconds(waitNanoseconds))
            .add("class", request.priority())
            .add("service", request.service())
            .add("organisation", request.organisationName())
            .add("left", milliseconds(request.deadlineNanoseconds() - nowNanoseconds));
    request
        .assessment()
        .ifPresent(
            assessment ->
                addTo(fields, assessment)
                    .add("allowed", milliseconds(assessment.allowedWait()))
                    .add("free", assessment.freeSlots(), 1)
                    .add("report", assessment.reportWeight(), 2)
                    .add("late", assessment.lateShare(), 2)
                    .add("pool-wait", milliseconds(assessment.reportedWait())));
    events.record(
        EventCode.REQUEST_WITHOUT_ROOM,
        sanitize(request.attributes().identifier()),
        fields.toString());
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
    LogFields fields =
        new LogFields()
            .add("status", status)
            .add("may-have-run", request.mayHaveRun())
            .add("sends", request.sendCount())
            .add("route", request.route().name())
            .add("service", request.service())
            .add("organisation", request.organisation().map(CallerOrganisation::name).orElse(""))
            .add("version", request.configurationVersion())
            .add("revision", revision)
            .add("queued", request.attributes().queueTime().toMillis())
            .add("took", milliseconds(latencyNanoseconds))
            .add("left", milliseconds(request.deadlineNanoseconds() - nowNanoseconds));
    events.record(
        EventCode.REQUEST_ANSWERED, sanitize(request.attributes().identifier()), fields.toString());
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
    LogFields fields =
        new LogFields()
            .add("may-have-run", mayHaveRun)
            .add("sends", sends)
            .add("queued", attributes.queueTime().toMillis())
            .add("took", tookMilliseconds);
    events.record(EventCode.CALLER_LEFT, sanitize(attributes.identifier()), fields.toString());
  }

  private void count(String name) {
    metrics.counter(name).inc();
  }

  private static LogFields addTo(LogFields fields, Assessment assessment) {
    return fields
        .add("cause", assessment.cause().toString())
        .add("expected", milliseconds(assessment.expectedTime()))
        .add("wait", milliseconds(assessment.expectedWait()));
  }

  private static void addTo(LogFields fields, RateLimitSnapshot snapshot) {
    fields
        .add("organisation", snapshot.organisation())
        .add("limit", snapshot.limitPerSecond(), 1)
        .add("asked", snapshot.demandPerSecond(), 1)
        .add("instances", snapshot.instances())
        .add("part", snapshot.share(), 3)
        .add("digest", age(snapshot.digestAge()));
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
