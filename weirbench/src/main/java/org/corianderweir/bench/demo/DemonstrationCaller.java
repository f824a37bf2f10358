package org.corianderweir.bench.demo;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.bench.process.FleetClient;
import org.corianderweir.daemon.traffic.CallerHeaders;
import org.corianderweir.daemon.traffic.TrafficService;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.logic.delivery.RetryPolicy;
import org.corianderweir.model.request.LookupAnswer;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.Json;

/** A caller that sends its requests to the entry instances in turn. */
final class DemonstrationCaller {
  private static final int STATUS_OK = 200;
  private static final String CLIENT_ADDRESS = "127.9.9.9";

  private final FleetClient client;
  private final Deque<EntryInstance> instances;
  private final AtomicInteger requestCounter = new AtomicInteger();

  DemonstrationCaller(FleetClient client, Collection<EntryInstance> instances) {
    this.client = client;
    this.instances = new ArrayDeque<>(instances);
  }

  /** Sends no further requests to an entry instance. */
  void exclude(EntryInstance instance) {
    instances.remove(instance);
  }

  /** Returns the entry instances that a look-up names; an empty list if it is not answered. */
  List<String> lookup() {
    String target = TrafficService.LOOKUP_PATH + "?client=" + CLIENT_ADDRESS;
    return client
        .call(address(instances.getFirst()), HttpRequest.of("GET", target))
        .filter(response -> response.status() == STATUS_OK)
        .map(response -> Json.read(response.bodyText(), LookupAnswer.class))
        .map(answer -> answer.entryInstances().stream().map(LookupAnswer.Endpoint::name).toList())
        .orElse(List.of());
  }

  /** Sends a request to the next entry instance; returns the status, or 0 without an answer. */
  int send(Deployment.Route route, String key) {
    EntryInstance next = instances.removeFirst();
    instances.addLast(next);
    return sendTo(next, route, key);
  }

  /** Sends a request to the given entry instance; returns the status, or 0 without an answer. */
  int sendTo(EntryInstance instance, Deployment.Route route, String key) {
    HttpHeaders headers = HttpHeaders.NONE;
    if (RetryPolicy.isIdempotent(route.method())) {
      headers = headers.with(CallerHeaders.REQUEST, "demo-" + requestCounter.incrementAndGet());
    }
    if (!key.isEmpty()) {
      headers = headers.with(CallerHeaders.KEY, key);
    }
    HttpRequest request = new HttpRequest(route.method(), route.path(), headers, new byte[0]);
    return client.call(address(instance), request).map(HttpResponse::status).orElse(0);
  }

  private static HttpAddress address(EntryInstance instance) {
    return new HttpAddress(instance.host(), instance.callerPort());
  }
}
