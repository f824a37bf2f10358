package org.corianderweir.daemon.entry;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.corianderweir.http.HopByHopHeaders;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.logic.traffic.AdmittedRequest;
import org.corianderweir.logic.traffic.RequestAttributes;
import org.corianderweir.logic.traffic.SendOutcome;
import org.corianderweir.model.traffic.HeaderNames;
import org.corianderweir.model.traffic.ServerRegistration;

/** Turns callers' messages into those for backend servers and back. */
final class ServerMessageTranslator {
  private static final int FIRST_SUCCESS_STATUS = 200;
  private static final int FIRST_REDIRECTION_STATUS = 300;
  private static final int STATUS_MISDIRECTED = 421;
  private static final int FIRST_SERVER_ERROR_STATUS = 500;
  private static final String CONTENT_ENCODING = "Content-Encoding";

  private final HeaderNames names;
  private final Set<String> internalFields;

  ServerMessageTranslator(HeaderNames names) {
    this.names = names;
    internalFields =
        Set.of(
            names.accessKey().toLowerCase(Locale.ROOT),
            names.organisation().toLowerCase(Locale.ROOT),
            names.expectedServer().toLowerCase(Locale.ROOT),
            names.deadlineMilliseconds().toLowerCase(Locale.ROOT));
  }

  /** Reads what a request says of itself. */
  RequestAttributes attributes(HttpRequest call) {
    HttpHeaders headers = call.headers();
    return new RequestAttributes(
        headers.first(names.requestIdentifier()).orElse(""),
        headers.first("Host").orElse(""),
        call.path(),
        headers.first(names.accessKey()),
        headers.first(names.affinity()),
        parseNumber(headers.first(names.deadlineMilliseconds())));
  }

  /** Returns the request as a server gets it. */
  HttpRequest forServer(
      HttpRequest call, AdmittedRequest request, ServerRegistration server, Duration timeLeft) {
    HttpHeaders headers = HopByHopHeaders.strip(call.headers()).without(internalFields);
    headers =
        headers
            .with("Host", request.attributes().host())
            .with(names.deadlineMilliseconds(), Long.toString(timeLeft.toMillis()))
            .with(names.expectedServer(), server.identifier());
    if (request.organisation().isPresent()) {
      headers = headers.with(names.organisation(), request.organisation().get().name());
    }
    return new HttpRequest(call.method(), call.target(), headers, call.body());
  }

  /** Returns a server's answer as the caller gets it. */
  HttpResponse forCaller(HttpResponse reply) {
    return new HttpResponse(reply.status(), HopByHopHeaders.strip(reply.headers()), reply.body());
  }

  /** Says what an answer means; one that is not the server's own is lost. */
  SendOutcome outcome(HttpResponse reply) {
    SendOutcome.LoadReport report =
        new SendOutcome.LoadReport(
            parseLoad(reply.headers().first(names.serverLoad())),
            parseNumber(reply.headers().first(names.coldMilliseconds())));
    boolean misdirected = reply.status() == STATUS_MISDIRECTED;
    if (misdirected || reply.headers().first(names.notRun()).isPresent()) {
      return new SendOutcome.NotRun(misdirected, report);
    }
    boolean success =
        reply.status() >= FIRST_SUCCESS_STATUS && reply.status() < FIRST_REDIRECTION_STATUS;
    boolean stamped = reply.headers().first(names.serverStamp()).isPresent();
    boolean encoded = reply.headers().first(CONTENT_ENCODING).isPresent();
    if (!stamped || (success && encoded)) {
      return new SendOutcome.Lost();
    }
    return new SendOutcome.Answered(success, reply.status() >= FIRST_SERVER_ERROR_STATUS, report);
  }

  /** Reads a load: running requests, waiting requests, slots. */
  private static OptionalLong parseLoad(Optional<String> text) {
    String[] parts = text.orElse("").split(",");
    if (parts.length < 2) {
      return OptionalLong.empty();
    }
    OptionalLong running = parseNumber(Optional.of(parts[0].trim()));
    OptionalLong waiting = parseNumber(Optional.of(parts[1].trim()));
    return running.isPresent() && waiting.isPresent()
        ? OptionalLong.of(running.getAsLong() + waiting.getAsLong())
        : OptionalLong.empty();
  }

  private static OptionalLong parseNumber(Optional<String> text) {
    if (text.isEmpty()) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Long.parseLong(text.get().trim()));
    } catch (NumberFormatException notANumber) {
      return OptionalLong.empty();
    }
  }
}
