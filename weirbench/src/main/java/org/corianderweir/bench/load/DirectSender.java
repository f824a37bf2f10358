package org.corianderweir.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.corianderweir.daemon.traffic.CallerHeaders;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.model.configuration.BackendServer;

/**
 * The baseline for comparison: callers of one availability zone that send each request directly to
 * a random backend server of its service, without entry instances and without coordination.
 */
final class DirectSender implements RequestSender {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(4);

  private final HttpClient client;
  private final List<BackendServer> servers;
  private final String identifierPrefix;
  private final CallJournal journal;
  private final SplittableRandom random;
  private final AtomicLong requestCounter = new AtomicLong();
  private final AtomicInteger pending = new AtomicInteger();

  DirectSender(
      HttpClient client,
      List<BackendServer> servers,
      String identifierPrefix,
      CallJournal journal,
      SplittableRandom random) {
    this.client = client;
    this.servers = List.copyOf(servers);
    this.identifierPrefix = identifierPrefix;
    this.journal = journal;
    this.random = random;
  }

  @Override
  public void send(Arrival arrival, long intendedNanoseconds) {
    pending.incrementAndGet();
    String identifier = identifierPrefix + "-" + requestCounter.incrementAndGet();
    CallRecord.Builder attempt =
        CallRecord.builder()
            .request(identifier, 1)
            .caller(arrival.organisation(), "", arrival.zone())
            .route(arrival.route().name(), arrival.route().idempotent())
            .sent(intendedNanoseconds, System.nanoTime());
    BackendServer server = chooseServer(arrival.route().service());
    client
        .exchange(
            new HttpAddress(server.host(), server.port()),
            createHttpRequest(arrival, identifier),
            CALL_TIMEOUT)
        .whenComplete(
            (response, failure) -> {
              long now = System.nanoTime();
              if (response != null) {
                ResponseReader.recordResponse(attempt, response, now);
              } else if (failure != null) {
                ResponseReader.recordFailure(attempt, failure, now);
              }
              journal.add(attempt.build());
              pending.decrementAndGet();
            });
  }

  @Override
  public int pending() {
    return pending.get();
  }

  private BackendServer chooseServer(String service) {
    List<BackendServer> candidates =
        servers.stream().filter(server -> server.service().equals(service)).toList();
    return candidates.get(random.nextInt(candidates.size()));
  }

  private static HttpRequest createHttpRequest(Arrival arrival, String identifier) {
    HttpHeaders headers = HttpHeaders.NONE.with(CallerHeaders.REQUEST, identifier);
    if (!arrival.organisation().isEmpty()) {
      headers = headers.with(CallerHeaders.ORGANISATION, arrival.organisation());
    }
    return new HttpRequest(arrival.route().method(), arrival.route().path(), headers, new byte[0]);
  }
}
