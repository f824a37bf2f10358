package org.corianderweir.bench.observer;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.corianderweir.bench.backend.JournalEntry;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.bench.load.CallRecord;
import org.corianderweir.bench.network.NetworkConditions;
import org.corianderweir.bench.network.TrafficMeter;
import org.corianderweir.model.configuration.BackendServer;

/** Builds the evidence of a small run. Times are in milliseconds. */
final class EvidenceFixture {
  static final String ORGANISATION = "club";
  static final String KEY = "key-club";
  static final String SERVER = "hall-1";
  static final String INSTANCE = "entry-1";

  private final List<CallRecord> calls = new ArrayList<>();
  private final List<JournalEntry> journal = new ArrayList<>();
  private final List<RevisionSample> revisions = new ArrayList<>();
  private final List<TrafficMeter.Sample> traffic = new ArrayList<>();
  private final List<Incident> incidents = new ArrayList<>();

  /** Returns the evidence of a correct run: an answered request, two refused ones and incidents. */
  static EvidenceFixture sound() {
    return new EvidenceFixture()
        .answered("r1", 100)
        .ran("r1", 101, 150)
        .refused("r2", 200, "not-run")
        .refused("r3", 300, "unknown")
        .ran("r3", 301, 350)
        .revision(1, 1, 500)
        .revision(1, 2, 9_000)
        .traffic(0, 1_000)
        .incident(new Incident.RevisionAccepted(2, nanoseconds(1_000)))
        .incident(new Incident.KeyWithdrawn(KEY, nanoseconds(1_000)))
        .incident(new Incident.ServerDrained(SERVER, nanoseconds(1_000)))
        .incident(
            new Incident.InstanceStopped(INSTANCE, nanoseconds(1_000), nanoseconds(3_000), 0));
  }

  EvidenceFixture answered(String request, long start) {
    return addCall(answeredAttempt(request, start).answer(request, ORGANISATION, SERVER).build());
  }

  EvidenceFixture answeredWith(String request, long start, String body, String organisation) {
    return addCall(answeredAttempt(request, start).answer(body, organisation, SERVER).build());
  }

  private static CallRecord.Builder answeredAttempt(String request, long start) {
    return attempt(request, start).ended(CallRecord.Outcome.ANSWERED, 200, nanoseconds(start + 60));
  }

  EvidenceFixture refused(String request, long start, String execution) {
    return addCall(
        attempt(request, start)
            .refusal("no-capacity", execution)
            .ended(CallRecord.Outcome.REFUSED, 503, nanoseconds(start + 60))
            .build());
  }

  EvidenceFixture lost(String request, long start) {
    return addCall(
        attempt(request, start).ended(CallRecord.Outcome.LOST, 0, nanoseconds(start + 60)).build());
  }

  private static CallRecord.Builder attempt(String request, long start) {
    return CallRecord.builder()
        .request(request, 1)
        .caller(ORGANISATION, KEY, "north")
        .route("bookings", false)
        .entryInstance(INSTANCE)
        .sent(nanoseconds(start), nanoseconds(start));
  }

  private EvidenceFixture addCall(CallRecord call) {
    calls.add(call);
    return this;
  }

  EvidenceFixture ran(String request, long begin, long end) {
    return entry(request, ORGANISATION, false, JournalEntry.Outcome.ANSWERED, begin, end);
  }

  EvidenceFixture ranElsewhere(String request, long begin) {
    journal.add(
        new JournalEntry(
            "elsewhere",
            request,
            ORGANISATION,
            "POST",
            "/bookings",
            false,
            JournalEntry.Outcome.ANSWERED,
            nanoseconds(begin),
            nanoseconds(begin + 50)));
    return this;
  }

  EvidenceFixture shed(String request, long at) {
    return entry(request, ORGANISATION, false, JournalEntry.Outcome.SHED, at, 0);
  }

  EvidenceFixture entry(
      String request,
      String organisation,
      boolean keySeen,
      JournalEntry.Outcome outcome,
      long begin,
      long end) {
    journal.add(
        new JournalEntry(
            SERVER,
            request,
            organisation,
            "POST",
            "/bookings",
            keySeen,
            outcome,
            nanoseconds(begin),
            nanoseconds(end)));
    return this;
  }

  EvidenceFixture revision(long process, long revision, long at) {
    revisions.add(
        new RevisionSample(INSTANCE, process, nanoseconds(at), nanoseconds(at + 1), revision));
    return this;
  }

  EvidenceFixture traffic(long at, long bytes) {
    traffic.add(
        new TrafficMeter.Sample(
            new NetworkConditions.Direction("north", "south"), nanoseconds(at), bytes));
    return this;
  }

  EvidenceFixture incident(Incident incident) {
    incidents.add(incident);
    return this;
  }

  Evidence build() {
    Deployment deployment =
        new Deployment(
            "test",
            "north",
            new Deployment.Latency(1, 20, 1),
            1,
            1,
            List.of(
                new Deployment.Zone("north", "erie", "127.1.1", 1),
                new Deployment.Zone("south", "huron", "127.2.1", 1)),
            List.of(new Deployment.ServiceSpecification("hall", 1, 2, 660, 50)),
            List.of(
                new Deployment.Route("bookings", "/bookings", "POST", "hall", false, List.of(), 1)),
            List.of(new Deployment.OrganisationSpecification(ORGANISATION, 10, 3, "erie", 0.5)));
    BackendServer server =
        new BackendServer(SERVER, "hall", "north", "127.1.1.9", 1, 2, 660, false, List.of());
    return new Evidence(deployment, List.of(server), calls, journal, revisions, traffic, incidents);
  }

  static long nanoseconds(long milliseconds) {
    return TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }
}
