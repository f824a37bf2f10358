package org.corianderweir.bench.metadata;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;

/** A backend server of the platform that answers at once, with faults. Thread-safe. */
public final class ServerStandIn {
  private static final int BODY_LIMIT_BYTES = 1024 * 1024;
  private static final int STATUS_OK = 200;
  private static final int STATUS_MISDIRECTED = 421;
  private static final int STATUS_INTERNAL_ERROR = 500;
  private static final int STATUS_UNAVAILABLE = 503;

  private final String identifier;
  private final HttpListener listener;
  private final List<HttpRequest> executedRequests = new CopyOnWriteArrayList<>();
  private volatile Fault fault = Fault.NONE;

  /** What the server does wrong. */
  public enum Fault {
    /** Nothing. */
    NONE,
    /** It says that it is full. */
    FULL,
    /** It runs requests and never answers. */
    SILENT,
    /** Its answers bear the identifier of another request. */
    OTHER_REQUEST,
    /** Its answers bear no signature. */
    UNSIGNED,
    /** It runs requests and fails. */
    FAILS
  }

  /** Creates a server that does not listen yet; port 0 lets the system choose. */
  public ServerStandIn(String identifier, String host, int port) {
    this.identifier = identifier;
    listener =
        new HttpListener(
            new HttpListenerOptions(identifier, host, port, BODY_LIMIT_BYTES, 1), this::handle);
  }

  /** Starts to listen. */
  public void start() {
    listener.start();
  }

  /** Ends the server. */
  public void stop() {
    listener.stop(0);
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return listener.port();
  }

  /** Sets what the server does wrong from now on. */
  public void setFault(Fault newFault) {
    fault = newFault;
  }

  /** Returns the requests that it ran. */
  public List<HttpRequest> executedRequests() {
    return List.copyOf(executedRequests);
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
    if (fault == Fault.FULL) {
      return respond(STATUS_UNAVAILABLE, headers.with("Not-Run", "1").with("Server-Load", "3,9,3"));
    }
    executedRequests.add(request);
    if (fault == Fault.SILENT) {
      return new CompletableFuture<>();
    }
    if (fault == Fault.UNSIGNED) {
      return respond(STATUS_OK, headers);
    }
    int status = fault == Fault.FAILS ? STATUS_INTERNAL_ERROR : STATUS_OK;
    return respond(status, headers.with("Server-Stamp", identifier).with("Server-Load", "1,0,3"));
  }

  private CompletableFuture<HttpResponse> respond(int status, HttpHeaders headers) {
    return CompletableFuture.completedFuture(
        new HttpResponse(status, headers, identifier.getBytes(StandardCharsets.UTF_8)));
  }
}
