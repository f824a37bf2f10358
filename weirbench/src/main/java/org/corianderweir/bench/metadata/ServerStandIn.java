package org.corianderweir.bench.metadata;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;

/** A backend server that answers at once and can inject faults. Thread-safe. */
public final class ServerStandIn {
  private static final int BODY_LIMIT_BYTES = 1024 * 1024;
  private static final int STATUS_OK = 200;
  private static final int STATUS_MISDIRECTED = 421;
  private static final int STATUS_INTERNAL_ERROR = 500;
  private static final int STATUS_UNAVAILABLE = 503;

  private final String identifier;
  private final HttpListener listener;
  private static final String PAUSE_SECONDS = "2";
  private final AtomicInteger refusedRequests = new AtomicInteger();
  private final List<HttpRequest> executedRequests = new CopyOnWriteArrayList<>();
  private final Queue<CompletableFuture<Void>> heldRequests = new ConcurrentLinkedQueue<>();
  private volatile Fault fault = Fault.NONE;
  private volatile String load = "1,0,3";

  /** The faults of the server. */
  public enum Fault {
    /** No fault. */
    NONE,
    /** It refuses requests because all its slots are taken. */
    FULL,
    /** It holds requests and refuses them when they are released. */
    FULL_LATE,
    /** It runs requests and answers them when they are released. */
    SLOW,
    /** It runs requests but never answers. */
    SILENT,
    /** Its answers carry the identifier of another request. */
    OTHER_REQUEST,
    /** Its answers lack the header {@code Server-Stamp}. */
    UNSIGNED,
    /** It runs requests and answers with an internal error. */
    FAILS,
    /** It runs requests and says in its answers that it leaves. */
    LEAVING,
    /** It refuses requests and asks for a pause of two seconds. */
    PAUSES
  }

  /** Creates a server that does not listen yet. With port 0 the system chooses a port. */
  public ServerStandIn(String identifier, String host, int port) {
    this.identifier = identifier;
    listener =
        new HttpListener(
            new HttpListenerOptions(identifier, host, port, BODY_LIMIT_BYTES, 1), this::handle);
  }

  /** Starts listening. */
  public void start() {
    listener.start();
  }

  /** Stops listening. */
  public void stop() {
    listener.stop(0);
  }

  /** Returns the identifier of the server. */
  public String identifier() {
    return identifier;
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return listener.port();
  }

  /** Sets the fault that applies from now on. */
  public void setFault(Fault newFault) {
    fault = newFault;
  }

  /** Sets the load that answers report from now on. */
  public void setLoad(String newLoad) {
    load = newLoad;
  }

  /** Returns the requests that the server ran. */
  public List<HttpRequest> executedRequests() {
    return List.copyOf(executedRequests);
  }

  /** Returns the number of requests that it refused while it asked for a pause. */
  public int refusedRequestCount() {
    return refusedRequests.get();
  }

  /** Returns the number of requests that are held. */
  public int heldRequestCount() {
    return heldRequests.size();
  }

  /** Refuses or answers the requests that are held. */
  public void releaseHeldRequests() {
    while (!heldRequests.isEmpty()) {
      heldRequests.remove().complete(null);
    }
  }

  private CompletableFuture<HttpResponse> handle(HttpRequest request) {
    HttpHeaders headers =
        HttpHeaders.NONE.with(
            "Request-Id",
            fault == Fault.OTHER_REQUEST
                ? "other"
                : request.headers().first("Request-Id").orElse("none"));
    boolean addressedHere =
        request
            .headers()
            .first("Expect-Instance")
            .filter(name -> !name.equals(identifier))
            .isEmpty();
    if (!addressedHere) {
      return respond(STATUS_MISDIRECTED, headers.with("Instance-Id", identifier));
    }
    HttpHeaders refusal = headers.with("Not-Run", "1").with("Server-Load", "3,9,3");
    if (fault == Fault.PAUSES) {
      refusedRequests.incrementAndGet();
      return respond(STATUS_UNAVAILABLE, refusal.with("Retry-After", PAUSE_SECONDS));
    }
    if (fault == Fault.FULL) {
      return respond(STATUS_UNAVAILABLE, refusal);
    }
    if (fault == Fault.FULL_LATE) {
      return respondWhenReleased(STATUS_UNAVAILABLE, refusal);
    }
    executedRequests.add(request);
    if (fault == Fault.SILENT) {
      return new CompletableFuture<>();
    }
    if (fault == Fault.UNSIGNED) {
      return respond(STATUS_OK, headers);
    }
    int status = fault == Fault.FAILS ? STATUS_INTERNAL_ERROR : STATUS_OK;
    HttpHeaders signed = headers.with("Server-Stamp", identifier).with("Server-Load", load);
    if (fault == Fault.LEAVING) {
      return respond(STATUS_OK, signed.with("Server-Leaving", "1"));
    }
    if (fault == Fault.SLOW) {
      return respondWhenReleased(STATUS_OK, signed);
    }
    return respond(status, signed);
  }

  private CompletableFuture<HttpResponse> respondWhenReleased(int status, HttpHeaders headers) {
    CompletableFuture<Void> held = new CompletableFuture<>();
    heldRequests.add(held);
    return held.thenCompose(unused -> respond(status, headers));
  }

  private CompletableFuture<HttpResponse> respond(int status, HttpHeaders headers) {
    return CompletableFuture.completedFuture(
        new HttpResponse(status, headers, identifier.getBytes(StandardCharsets.UTF_8)));
  }
}
