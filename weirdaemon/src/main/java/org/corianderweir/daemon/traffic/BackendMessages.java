package org.corianderweir.daemon.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.corianderweir.http.HopByHopHeaders;
import org.corianderweir.http.HttpHeader;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.model.configuration.BackendServer;

/**
 * Creates the requests to backend servers and the responses to callers. Reserved header fields are
 * not forwarded in either direction; the entry instance sets them itself.
 */
final class BackendMessages {
  private final String instanceName;

  BackendMessages(String instanceName) {
    this.instanceName = instanceName;
  }

  /** Returns a caller's request as it is sent to a backend server. */
  HttpRequest toBackendRequest(RequestContext context, long remainingNanoseconds) {
    HttpRequest request = context.request();
    List<HttpHeader> fields = forwardableFields(request.headers());
    long remainingMilliseconds = Duration.ofNanos(remainingNanoseconds).toMillis();
    fields.add(new HttpHeader(CallerHeaders.REQUEST, context.name()));
    fields.add(
        new HttpHeader(CallerHeaders.DEADLINE_MILLISECONDS, Long.toString(remainingMilliseconds)));
    context
        .organisation()
        .ifPresent(name -> fields.add(new HttpHeader(CallerHeaders.ORGANISATION, name)));
    return new HttpRequest(
        request.method(), request.target(), new HttpHeaders(fields), request.body());
  }

  /** Returns a backend server's response as it is sent to the caller. */
  HttpResponse toCallerResponse(BackendServer server, HttpResponse response) {
    List<HttpHeader> fields = forwardableFields(response.headers());
    fields.add(new HttpHeader(CallerHeaders.BACKEND_SERVER, server.name()));
    fields.add(new HttpHeader(CallerHeaders.ENTRY_INSTANCE, instanceName));
    return new HttpResponse(response.status(), new HttpHeaders(fields), response.body());
  }

  private static List<HttpHeader> forwardableFields(HttpHeaders headers) {
    List<HttpHeader> fields = new ArrayList<>();
    for (HttpHeader field : HopByHopHeaders.strip(headers).fields()) {
      if (!CallerHeaders.isReserved(field.name())) {
        fields.add(field);
      }
    }
    return fields;
  }
}
